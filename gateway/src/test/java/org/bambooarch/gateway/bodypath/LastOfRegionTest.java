package org.bambooarch.gateway.bodypath;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * What the instance of a region that stops last does with requests that arrive late in its stop.
 */
class LastOfRegionTest {

  private static final long TIMEOUT_MILLIS = 1_500;

  private final BodyPathWorld world = new BodyPathWorld(new Random(1), Map.of("north-a", "north"));

  @AfterEach
  void close() {
    assertThat(world.violations()).isEmpty();
    world.close();
  }

  private SimulatedClient start(String id) {
    SimulatedClient client = world.start(id, id, true, false, 0, true, TIMEOUT_MILLIS);
    client.sendPart(1);
    world.settle();
    world.links().stream()
        .filter(link -> link.channel().isConnecting())
        .toList()
        .forEach(link -> link.channel().connectNow());
    world.settle();
    return client;
  }

  private boolean reachedServer(String id) {
    return world.links().stream().anyMatch(link -> link.lastRequestId().equals(id));
  }

  // Incident HOME: the last instance of a region accepted requests late in its stop that it then
  // refused, or that were in flight when it ended.
  @Test
  void should_accept_late_in_its_stop_only_requests_that_are_over_well_before_its_end() {
    world.hearOfStartingInstance();
    world.beginStop();
    world.advance(3_000);
    start("r1");
    assertThat(reachedServer("r1")).isTrue();

    world.advance(800);
    SimulatedClient late = start("r2");
    assertThat(reachedServer("r2")).isFalse();
    assertThat(late.status()).isEqualTo(503);
  }
}

package org.bambooarch.gateway.bodypath;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.bambooarch.core.steering.config.CustomerPolicy;
import org.bambooarch.core.steering.config.HomeRegions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

// Issue 53 (HOME): an instance forwarded another instance's request to the server under the named
// id, in whatever region its own list had that server.
class RelayedHomesTest {

  private static final int SERVERS = 3;

  private final BodyPathWorld world =
      new BodyPathWorld(new Random(1), Map.of("north-a", "north", "south-a", "south"));

  private static HomeRegions only(String... regions) {
    return new HomeRegions.Only(Set.of(regions));
  }

  @AfterEach
  void close() {
    assertThat(world.violations()).isEmpty();
    world.close();
  }

  private void listAllServersIn(String dataCentre) {
    for (int i = 0; i < SERVERS; i++) {
      world.listServer(i, dataCentre, "10.0.0." + (i + 1));
    }
  }

  private SimulatedClient relay(String id) {
    SimulatedClient client = world.start(id, id, true, true, 0, true, 1_500);
    client.sendPart(1);
    world.settle();
    return client;
  }

  private void connectAll() {
    for (SimulatedLink link : world.links()) {
      if (link.channel().isConnecting()) {
        link.channel().connectNow();
      }
    }
    world.settle();
  }

  private boolean hasArrived(String id) {
    return world.links().stream().anyMatch(link -> link.lastRequestId().equals(id));
  }

  @Test
  void should_refuse_as_not_sent_when_the_server_is_in_no_home_by_the_own_list() {
    world.configure(2, only("south"));

    SimulatedClient client = relay("r1");
    connectAll();

    assertThat(hasArrived("r1")).isFalse();
    assertThat(client.status()).isEqualTo(503);
  }

  @Test
  void should_forward_when_the_server_is_at_home_and_the_own_region_is_not() {
    listAllServersIn("south-a");
    world.configure(2, only("south"));

    relay("r1");
    connectAll();

    assertThat(hasArrived("r1")).isTrue();
  }

  @Test
  void should_refuse_as_not_sent_when_the_server_is_in_no_home_of_the_named_customer() {
    world.configure(
        2,
        only("north"),
        List.of(new CustomerPolicy("kerala", Set.of(), 0, 0, 0, only("south", "west"))));
    world.addHeader(PlainFormat.CUSTOMER, "kerala");

    SimulatedClient client = relay("r1");
    connectAll();

    assertThat(hasArrived("r1")).isFalse();
    assertThat(client.status()).isEqualTo(503);
  }

  @Test
  void should_refuse_as_not_sent_when_the_homes_move_while_the_connection_opens() {
    world.configure(2, only("north"));
    world.connectLater();
    SimulatedClient client = relay("r1");

    world.configure(3, only("south"));
    connectAll();

    assertThat(hasArrived("r1")).isFalse();
    assertThat(client.status()).isEqualTo(503);
  }

  @Test
  void should_forward_to_any_region_when_another_instance_has_a_newer_configuration() {
    world.configure(2, only("south"));
    world.hearOfConfiguration(3);

    relay("r1");
    connectAll();

    assertThat(hasArrived("r1")).isTrue();
  }
}

package org.bambooarch.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.bambooarch.core.steering.place.NamedLimit;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.core.steering.place.ServerTable;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.gateway.spi.ServerResponseHeaders;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ServerDirectivesTest {

  private static final ServerEntry FIRST_RUN = entry(1);
  private static final ServerEntry SECOND_RUN = entry(2);

  private final ServerTable table = new ServerTable(Map.of("north-a", "north"));
  private final ServerDirectives directives =
      new ServerDirectives(table, SystemClock.systemClock());

  private static ServerEntry entry(long startWallMillis) {
    return new ServerEntry(
        "server-1", "shop", "10.0.0.1", 80, "north-a", 5, false, 0, startWallMillis);
  }

  /** A response that asks for everything that a server can ask for. */
  private static ServerResponseHeaders askingForAll(boolean genuine, boolean misdirected) {
    return new ServerResponseHeaders(
        "r1",
        genuine,
        false,
        misdirected,
        true,
        Optional.empty(),
        OptionalLong.empty(),
        OptionalDouble.of(1),
        OptionalLong.of(60_000));
  }

  private ServerState server() {
    return table.find("server-1").orElseThrow();
  }

  private void assertFollowsAll(boolean follows) {
    long nowNanos = SystemClock.systemClock().monotonicNanos();
    assertThat(table.findAvailable("server-1").isEmpty()).isEqualTo(follows);
    assertThat(server().isResting(nowNanos)).isEqualTo(follows);
    assertThat(server().limit().ownPerSecond(nowNanos))
        .isEqualTo(follows ? 1 : NamedLimit.UNLIMITED);
  }

  @BeforeEach
  void listServer() {
    table.replaceAll(List.of(FIRST_RUN), 0, SystemClock.systemClock().monotonicNanos());
  }

  @Test
  void should_follow_a_response_of_the_server() {
    directives.onResponseHead(server(), FIRST_RUN, askingForAll(true, false));
    assertFollowsAll(true);
  }

  @Test
  void should_ignore_a_response_of_an_earlier_run_of_the_server() {
    table.put(SECOND_RUN, 0, SystemClock.systemClock().monotonicNanos());
    directives.onResponseHead(server(), FIRST_RUN, askingForAll(true, false));
    assertFollowsAll(false);
  }

  @Test
  void should_ignore_a_response_of_another_server_at_the_address() {
    directives.onResponseHead(server(), FIRST_RUN, askingForAll(true, true));
    assertFollowsAll(false);
  }

  @Test
  void should_ignore_a_response_without_the_mark_of_servers() {
    directives.onResponseHead(server(), FIRST_RUN, askingForAll(false, false));
    assertFollowsAll(false);
  }
}

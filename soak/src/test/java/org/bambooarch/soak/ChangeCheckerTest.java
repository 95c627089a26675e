package org.bambooarch.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class ChangeCheckerTest {

  private final PlayedChanges changes = new PlayedChanges();

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static ServerRun run(
      String server, String service, boolean moved, long sentMillis, long receivedMillis) {
    ServerRun.Answer answer = new ServerRun.Answer(200, "s", 1, "h");
    return new ServerRun(
        "a",
        1,
        server,
        1,
        1,
        true,
        service,
        "north",
        moved ? PlayedDeployment.MOVED_ROUTE : "read-desk",
        "plain",
        millis(sentMillis),
        true,
        answer,
        null,
        Fault.NONE,
        millis(receivedMillis),
        new AtomicLong(),
        new AtomicLong());
  }

  private void configure(String movedTo, long sentMillis, long ackMillis) {
    changes.onConfiguration(
        new PlayedChanges.Configuration(movedTo, Map.of(), millis(sentMillis), millis(ackMillis)));
  }

  private ChangeChecker.Result check(ServerRun run) {
    return new ChangeChecker(changes).check(List.of(run));
  }

  @Test
  void should_find_a_request_that_an_old_configuration_handled_past_the_bound() {
    configure("catalogue", 0, 1);
    configure("search", 10_000, 10_010);

    assertThat(check(run("i-1", "catalogue", true, 12_511, 12_530)).config())
        .extracting(ChangeChecker.Late::lateMillis)
        .containsExactly(2_501L);
    assertThat(check(run("i-1", "catalogue", true, 12_509, 12_900)).config()).isEmpty();
    assertThat(check(run("i-1", "search", true, 20_000, 20_010)).config()).isEmpty();
  }

  @Test
  void should_allow_a_service_to_which_a_later_configuration_returned() {
    configure("catalogue", 0, 1);
    configure("search", 10_000, 10_010);
    configure("catalogue", 14_000, 14_010);

    assertThat(check(run("i-1", "catalogue", true, 13_990, 14_005)).config()).isEmpty();
    assertThat(check(run("i-1", "catalogue", true, 20_000, 20_010)).config()).isEmpty();
  }

  @Test
  void should_find_a_request_that_reached_a_server_past_the_bound_after_it_said_that_it_leaves() {
    changes.onLeaving("i-1", millis(10_000));

    assertThat(check(run("i-1", "desk", false, 12_300, 12_501)).drain()).hasSize(1);
    assertThat(check(run("i-1", "desk", false, 12_300, 12_499)).drain()).isEmpty();
    assertThat(check(run("i-2", "desk", false, 20_000, 20_010)).drain()).isEmpty();
  }

  @Test
  void should_excuse_what_follows_a_silence_of_the_store_within_the_time_of_contact() {
    changes.onLeaving("i-1", millis(10_000));
    changes.onSilence(millis(8_000), millis(9_500));

    assertThat(check(run("i-1", "desk", false, 13_000, 13_400)).drain()).isEmpty();
    assertThat(check(run("i-1", "desk", false, 13_000, 13_600)).drain()).hasSize(1);
  }

  @Test
  void should_tell_the_oldest_state_that_was_used_within_the_bounds() {
    changes.onLeaving("i-1", millis(10_000));

    assertThat(check(run("i-1", "desk", false, 11_000, 11_200)).oldestLeavingMillis())
        .isEqualTo(1_200);
  }
}

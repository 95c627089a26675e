package org.bambooarch.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.bambooarch.core.steering.config.CallerLimits;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.ListVersions;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.spi.ControlChange;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;
import org.junit.jupiter.api.Test;

class ControlStateTest {

  private final ManualClock clock = ManualClock.startingAtZero();
  private final ControlState state = new ControlState(ListWatcherTest.settings(), clock);

  static ControlUpdate configuration(long version) {
    SteeringConfig config =
        new SteeringConfig(
            version,
            List.of(),
            List.of(),
            List.of(),
            new CallerLimits(16_384, 1 << 20, 3_000, 15_000));
    return new ControlUpdate(0, version, List.of(new ControlChange.ConfigurationChanged(config)));
  }

  static Heartbeat heartbeat(long configVersion) {
    return heartbeat(configVersion, ListVersions.NONE);
  }

  static Heartbeat heartbeat(long configVersion, ListVersions listVersions) {
    InstanceIdentity sender =
        new InstanceIdentity("entry-2", 1, "north", "north-b", "10.0.0.2:1", "10.0.0.2:2");
    return new Heartbeat(
        sender,
        true,
        0,
        false,
        configVersion,
        listVersions,
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        List.of());
  }

  // Regression: an instance that the store turned away refused keys that other instances knew.
  @Test
  void should_tell_that_its_configuration_is_outdated_while_another_instance_applies_a_newer_one() {
    state.replaceList(Topic.OPERATOR, configuration(7));
    state.onHeartbeat(heartbeat(7));
    assertThat(state.isConfigurationOutdated()).isFalse();

    state.onHeartbeat(heartbeat(8));
    assertThat(state.isConfigurationOutdated()).isTrue();

    state.applyChanges(configuration(8));
    assertThat(state.isConfigurationOutdated()).isFalse();
  }

  @Test
  void should_tell_that_its_configuration_is_outdated_while_the_store_cannot_be_watched() {
    state.replaceList(Topic.OPERATOR, configuration(7));
    state.onListReachable(Topic.SERVERS, false);
    assertThat(state.isConfigurationOutdated()).isFalse();

    state.onListReachable(Topic.OPERATOR, false);
    assertThat(state.isConfigurationOutdated()).isTrue();

    state.onListReachable(Topic.OPERATOR, true);
    assertThat(state.isConfigurationOutdated()).isFalse();
  }

  // Regression: what an instance had told was forgotten when it fell silent.
  @Test
  void should_tell_that_its_configuration_is_outdated_when_the_one_that_told_so_fell_silent() {
    state.replaceList(Topic.OPERATOR, configuration(7));
    state.onHeartbeat(heartbeat(8));
    clock.advanceMillis(70_000);
    state.tick();
    assertThat(state.isConfigurationOutdated()).isTrue();

    state.applyChanges(configuration(8));
    assertThat(state.isConfigurationOutdated()).isFalse();
  }

  private Heartbeat heartbeatOfOther(boolean takesCallers) {
    Heartbeat ready = heartbeat(7);
    return new Heartbeat(
        ready.sender(),
        takesCallers,
        0,
        false,
        7,
        ListVersions.NONE,
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        List.of());
  }

  private void load() {
    state.replaceList(Topic.OPERATOR, configuration(7));
    state.replaceList(Topic.SERVERS, new ControlUpdate(0, 1, List.of()));
  }

  private void stopAsLast() {
    state.onHeartbeat(heartbeatOfOther(false));
    state.beginShutdown(StopSchedule.from(clock.monotonicNanos(), 6_000));
  }

  private boolean acceptsAfterMillis(long millis) {
    clock.advanceMillis(millis);
    state.tick();
    return state.acceptsRequests();
  }

  // Incident HOME: an instance that left early left its region empty, one that stays too long comes
  // back late.
  @Test
  void should_accept_requests_until_another_instance_of_the_region_is_ready_when_it_stops_last() {
    load();
    stopAsLast();
    assertThat(acceptsAfterMillis(3_000)).isTrue();

    state.onHeartbeat(heartbeatOfOther(true));
    assertThat(acceptsAfterMillis(100)).isFalse();
    state.onHeartbeat(heartbeatOfOther(false));
    assertThat(acceptsAfterMillis(100)).as("accepted again").isFalse();
  }

  @Test
  void should_accept_requests_until_shortly_before_the_end_when_no_other_instance_gets_ready() {
    load();
    stopAsLast();

    assertThat(acceptsAfterMillis(5_200)).isTrue();
    assertThat(acceptsAfterMillis(100)).isFalse();
  }

  @Test
  void should_not_stay_longer_when_it_stops_last_but_was_never_ready() {
    stopAsLast();

    assertThat(acceptsAfterMillis(2_800)).isFalse();
  }

  private static ControlUpdate operatorChange(long version, ControlChange change) {
    return new ControlUpdate(0, version, List.of(change));
  }

  // Regression: keys of a configuration that this instance cannot read were refused for good.
  @Test
  void should_tell_that_its_configuration_is_outdated_while_the_newest_one_cannot_be_read() {
    state.replaceList(Topic.OPERATOR, configuration(7));

    state.applyChanges(operatorChange(8, new ControlChange.UnreadableEntry("config", "odd", true)));
    assertThat(state.isConfigurationOutdated()).isTrue();
    assertThat(state.config().orElseThrow().version()).isEqualTo(7);

    state.onHeartbeat(heartbeat(8));
    state.applyChanges(configuration(9));
    assertThat(state.isConfigurationOutdated()).isFalse();
  }

  @Test
  void should_keep_its_configuration_up_to_date_when_another_entry_cannot_be_read() {
    state.replaceList(Topic.OPERATOR, configuration(7));

    state.applyChanges(operatorChange(8, new ControlChange.UnreadableEntry("other", "odd", false)));

    assertThat(state.isConfigurationOutdated()).isFalse();
  }

  // The same class of fault: what follows a removed configuration is not known yet.
  @Test
  void should_tell_that_its_configuration_is_outdated_while_the_store_has_none() {
    state.replaceList(Topic.OPERATOR, configuration(7));

    state.applyChanges(operatorChange(8, new ControlChange.ConfigurationRemoved()));
    assertThat(state.isConfigurationOutdated()).isTrue();
    assertThat(state.config().orElseThrow().version()).isEqualTo(7);

    state.replaceList(Topic.OPERATOR, configuration(9));
    assertThat(state.isConfigurationOutdated()).isFalse();

    state.replaceList(Topic.OPERATOR, new ControlUpdate(0, 10, List.of()));
    assertThat(state.isConfigurationOutdated()).isTrue();
  }

  @Test
  void should_count_the_age_of_the_configuration_from_the_last_call_with_a_response() {
    clock.advanceMillis(500);
    state.replaceList(Topic.OPERATOR, configuration(7));
    state.onListRead(Topic.OPERATOR, configuration(7), clock.monotonicNanos());
    clock.advanceMillis(900);
    state.onListRead(Topic.SERVERS, configuration(7), clock.monotonicNanos());

    assertThat(state.configurationAgeMillis()).isEqualTo(900);
  }

  // A watch that ends after a check was asked for earlier than that.
  @Test
  void should_not_count_the_age_of_the_configuration_from_an_earlier_call_that_ends_later() {
    state.replaceList(Topic.OPERATOR, configuration(7));
    clock.advanceMillis(5_000);
    state.onListRead(Topic.OPERATOR, configuration(7), clock.monotonicNanos());
    state.onListRead(Topic.OPERATOR, configuration(7), 0);
    clock.advanceMillis(100);

    assertThat(state.configurationAgeMillis()).isEqualTo(100);
  }
}

package org.bambooarch.core.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bambooarch.core.membership.InstanceStatus.ALIVE;
import static org.bambooarch.core.membership.InstanceStatus.DEAD;
import static org.bambooarch.core.membership.InstanceStatus.LEAVING;
import static org.bambooarch.core.membership.InstanceStatus.SUSPECT;

import java.util.List;
import org.junit.jupiter.api.Test;

class MembershipTest {

  private static SimulatedMembershipFleet tenInstances() {
    SimulatedMembershipFleet fleet = SimulatedMembershipFleet.of(5, 2);
    fleet.deliverPlatformList();
    fleet.runSeconds(5);
    return fleet;
  }

  @Test
  void should_see_all_instances_alive_when_the_platform_lists_them_and_they_send_heartbeats() {
    // given, when
    SimulatedMembershipFleet fleet = tenInstances();
    // then
    assertThat(fleet.member("dc00-000").snapshot())
        .hasSize(9)
        .allMatch(instance -> instance.status() == ALIVE);
  }

  @Test
  void should_mark_as_suspect_first_and_as_dead_later_when_an_instance_is_silent() {
    // given
    SimulatedMembershipFleet fleet = tenInstances();
    // when
    fleet.pause("dc01-000");
    fleet.runSeconds(2.5);
    InstanceStatus statusBeforeDeadTimeout = fleet.status("dc00-000", "dc01-000");
    fleet.runSeconds(3);
    // then
    assertThat(statusBeforeDeadTimeout).isEqualTo(SUSPECT);
    assertThat(fleet.status("dc00-000", "dc01-000")).isEqualTo(DEAD);
  }

  @Test
  void should_keep_an_instance_dead_when_only_the_platform_lists_it() {
    // given
    SimulatedMembershipFleet fleet = tenInstances();
    fleet.pause("dc01-000");
    fleet.runSeconds(8);
    // when
    fleet.deliverPlatformList();
    fleet.runSeconds(1);
    // then
    assertThat(fleet.status("dc00-000", "dc01-000")).isEqualTo(DEAD);
  }

  @Test
  void should_keep_an_instance_alive_when_the_platform_does_not_list_it_but_it_sends_heartbeats() {
    // given
    SimulatedMembershipFleet fleet = tenInstances();
    // when
    fleet.member("dc00-000").onPlatformList(List.of());
    fleet.runSeconds(10);
    // then
    assertThat(fleet.status("dc00-000", "dc01-000")).isEqualTo(ALIVE);
  }

  @Test
  void should_not_mark_as_dead_when_other_instances_still_receive_its_heartbeats() {
    // given
    SimulatedMembershipFleet fleet = tenInstances();
    // when
    fleet.partition("dc00-000", "dc01-000");
    fleet.runSeconds(30);
    // then
    assertThat(fleet.status("dc00-000", "dc01-000")).isNotEqualTo(DEAD);
    assertThat(fleet.status("dc00-001", "dc01-000")).isEqualTo(ALIVE);
  }

  @Test
  void should_report_all_instances_alive_when_its_own_process_resumes_after_a_pause() {
    // given
    SimulatedMembershipFleet fleet = tenInstances();
    // when
    fleet.pause("dc00-000");
    fleet.runSeconds(60);
    fleet.resume("dc00-000");
    fleet.runSeconds(0.5);
    // then
    assertThat(fleet.member("dc00-000").snapshot())
        .allMatch(instance -> instance.status() == ALIVE);
  }

  @Test
  void should_be_alive_again_on_all_instances_when_a_silent_instance_resumes() {
    // given
    SimulatedMembershipFleet fleet = tenInstances();
    fleet.pause("dc01-000");
    fleet.runSeconds(10);
    // when
    fleet.resume("dc01-000");
    fleet.runSeconds(3);
    // then
    assertThat(fleet.status("dc00-000", "dc01-000")).isEqualTo(ALIVE);
    assertThat(fleet.status("dc04-001", "dc01-000")).isEqualTo(ALIVE);
  }

  @Test
  void should_stay_leaving_when_an_instance_announced_its_stop() {
    // given
    SimulatedMembershipFleet fleet = tenInstances();
    // when
    fleet.member("dc01-000").leave();
    fleet.runSeconds(2);
    // then
    assertThat(fleet.status("dc00-000", "dc01-000")).isEqualTo(LEAVING);
  }

  @Test
  void should_be_alive_with_the_new_incarnation_when_a_leaving_instance_was_replaced() {
    // given
    SimulatedMembershipFleet fleet = tenInstances();
    fleet.member("dc01-000").leave();
    fleet.runSeconds(2);
    // when
    fleet.start("dc01-000", "dc01", 7);
    fleet.deliverPlatformList();
    fleet.runSeconds(2);
    // then
    assertThat(fleet.status("dc00-000", "dc01-000")).isEqualTo(ALIVE);
  }

  @Test
  void should_suspect_its_own_isolation_and_wait_longer_when_most_instances_fall_silent_at_once() {
    // given
    SimulatedMembershipFleet fleet = tenInstances();
    for (int dc = 1; dc < 5; dc++) {
      fleet.pauseDataCentre("dc0" + dc);
    }
    // when
    fleet.runSeconds(6);
    // then
    assertThat(fleet.member("dc00-000").suspectsOwnIsolation()).isTrue();
    assertThat(fleet.status("dc00-000", "dc01-000")).isEqualTo(SUSPECT);
    fleet.runSeconds(10);
    assertThat(fleet.status("dc00-000", "dc01-000")).isEqualTo(DEAD);
  }

  @Test
  void should_mark_a_failed_data_centre_as_dead_on_all_instances_when_the_fleet_is_large() {
    // given
    SimulatedMembershipFleet fleet = SimulatedMembershipFleet.of(6, 15);
    fleet.deliverPlatformList();
    fleet.runSeconds(12);
    // when
    fleet.pauseDataCentre("dc03");
    fleet.runSeconds(20);
    // then
    assertThat(fleet.status("dc00-000", "dc03-007")).isEqualTo(DEAD);
    assertThat(fleet.status("dc05-014", "dc03-007")).isEqualTo(DEAD);
    assertThat(fleet.status("dc05-014", "dc00-007")).isEqualTo(ALIVE);
  }

  @Test
  void should_send_few_messages_between_data_centres_when_the_fleet_is_large() {
    // given
    SimulatedMembershipFleet fleet = SimulatedMembershipFleet.of(6, 15);
    fleet.deliverPlatformList();
    fleet.runSeconds(30);
    long before = fleet.sentMessages;
    // when
    fleet.runSeconds(0.5);
    // then: each of 90 instances monitors 14 local ones; 12 relays monitor 10 remote ones
    assertThat(fleet.sentMessages - before).isEqualTo(90 * 14 + 12 * 10);
  }
}

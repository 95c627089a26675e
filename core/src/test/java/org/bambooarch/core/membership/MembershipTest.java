package org.bambooarch.core.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bambooarch.core.membership.InstanceStatus.ALIVE;
import static org.bambooarch.core.membership.InstanceStatus.DEAD;
import static org.bambooarch.core.membership.InstanceStatus.LEAVING;
import static org.bambooarch.core.membership.InstanceStatus.SUSPECT;

import org.junit.jupiter.api.Test;

class MembershipTest {

  private static SimulatedMembershipFleet tenInstances() {
    SimulatedMembershipFleet fleet = SimulatedMembershipFleet.of(5, 2);
    fleet.deliverPlatformList();
    fleet.runSeconds(5);
    return fleet;
  }

  @Test
  void should_see_all_alive_when_the_list_names_them_and_they_answer() {
    // given, when
    SimulatedMembershipFleet fleet = tenInstances();
    // then
    assertThat(fleet.member("dc00-000").snapshot())
        .hasSize(9)
        .allMatch(instance -> instance.status() == ALIVE);
  }

  @Test
  void should_suspect_first_and_declare_dead_later_when_an_instance_is_silent() {
    // given
    SimulatedMembershipFleet fleet = tenInstances();
    // when
    fleet.pause("dc01-000");
    fleet.runSeconds(2.5);
    InstanceStatus early = fleet.status("dc00-000", "dc01-000");
    fleet.runSeconds(3);
    // then
    assertThat(early).isEqualTo(SUSPECT);
    assertThat(fleet.status("dc00-000", "dc01-000")).isEqualTo(DEAD);
  }

  @Test
  void should_not_list_as_alive_when_only_the_platform_names_an_instance() {
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
  void should_keep_an_instance_alive_when_the_platform_has_lost_it_but_it_is_heard() {
    // given
    SimulatedMembershipFleet fleet = tenInstances();
    // when
    fleet.member("dc00-000").onPlatformList(java.util.List.of());
    fleet.runSeconds(10);
    // then
    assertThat(fleet.status("dc00-000", "dc01-000")).isEqualTo(ALIVE);
  }

  @Test
  void should_not_declare_dead_when_others_still_hear_the_instance() {
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
  void should_blame_nobody_when_it_stood_still_itself() {
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
  void should_be_alive_again_everywhere_when_a_silent_instance_returns() {
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
  void should_doubt_itself_and_wait_longer_when_most_others_fall_silent_at_once() {
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
  void should_see_the_end_of_a_whole_data_centre_everywhere_when_the_fleet_is_large() {
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
    long before = fleet.messages;
    // when
    fleet.runSeconds(0.5);
    // then: each of 90 watches 14 near ones; 12 relays watch 10 far ones
    assertThat(fleet.messages - before).isEqualTo(90 * 14 + 12 * 10);
  }
}

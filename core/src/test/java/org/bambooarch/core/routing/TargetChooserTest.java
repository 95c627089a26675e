package org.bambooarch.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.link.LinkBudgets;
import org.bambooarch.core.time.ManualClock;
import org.junit.jupiter.api.Test;

class TargetChooserTest {

  private final ManualClock clock = ManualClock.startingAtZero();
  private final Random random = new Random(7);
  private final LinkBudgets links = LinkBudgets.equalShares(TestInventories.small(), 10, clock);
  private final TargetTable table = TargetTable.from(TestInventories.small(), "kochi-a");
  private final int order = table.routeIndex("catalogue", "order");
  private TargetChooser chooser = TargetChooser.create(table, links, clock);

  @Test
  void should_stay_in_the_local_region_when_it_has_free_slots() {
    // when
    List<ChosenServer> chosen = chooseUntilRefused();
    // then
    assertThat(chosen).hasSize(8);
    assertThat(chosen).noneMatch(ChosenServer::crossesLink);
  }

  @Test
  void should_use_another_region_only_when_the_local_one_has_lacked_slots_for_a_while() {
    // given
    chooseUntilRefused();
    // when
    for (int tick = 0; tick < 6; tick++) {
      assertThat(chooseOnce()).isInstanceOf(Choice.NoRoom.class);
      tick();
    }
    // then
    assertThat(chooseOnce())
        .isInstanceOfSatisfying(
            ChosenServer.class, chosen -> assertThat(chosen.crossesLink()).isTrue());
  }

  @Test
  void should_lower_the_limit_when_a_server_sheds_and_raise_it_when_it_is_reached() {
    // given
    ChosenServer shed = (ChosenServer) chooseOnce();
    // when
    chooser.onShed(shed);
    tick();
    // then
    assertThat(chooser.limit(shed.serverIndex())).isEqualTo(1);
    // when
    for (int tick = 0; tick < 60; tick++) {
      chooseUntilRefused().forEach(chosen -> chooser.onAnswered(chosen, 1_000_000));
      tick();
    }
    // then
    assertThat(chooser.limit(shed.serverIndex())).isEqualTo(5);
  }

  @Test
  void should_eject_a_server_and_return_it_with_a_limit_of_one_when_it_fails() {
    // given
    int failing = 0;
    while (!chooser.isEjected(failing)) {
      chooseUntilRefused().forEach(chosen -> end(chosen, failing));
      tick();
    }
    // when
    clock.advanceMillis(5_000);
    chooser.tick();
    // then
    assertThat(chooser.isEjected(failing)).isFalse();
    assertThat(chooser.limit(failing)).isEqualTo(1);
  }

  @Test
  void should_report_no_target_after_two_seconds_when_all_regions_drain() {
    // given
    var all =
        TestInventories.small(
            new DrainRule(DrainRule.Kind.REGION, "kochi"),
            new DrainRule(DrainRule.Kind.REGION, "tvm"),
            new DrainRule(DrainRule.Kind.REGION, "kozhikode"));
    chooser = chooser.reconfigured(TargetTable.from(all, "kochi-a"), links);
    assertThat(chooseOnce()).isInstanceOf(ChosenServer.class);
    // when
    clock.advanceMillis(2_000);
    chooser.tick();
    // then
    assertThat(chooseOnce()).isInstanceOf(Choice.NoTarget.class);
  }

  @Test
  void should_only_lower_limits_when_servers_report_their_state() {
    // when
    chooser.onReport(new TargetReport("catalogue-kochi-a-1", true, false, 0));
    chooser.onReport(new TargetReport("catalogue-kochi-a-2", false, false, 0));
    chooser.onReport(new TargetReport("catalogue-kochi-b-1", true, true, 0));
    chooser.tick();
    // then
    assertThat(chooser.limit(0)).isEqualTo(2);
    assertThat(chooser.limit(1)).isEqualTo(1);
    assertThat(chooser.limit(2)).isZero();
  }

  @Test
  void should_leave_slots_to_other_classes_when_bulk_takes_all_it_can() {
    // given
    int bulk = table.routeIndex("catalogue", "lookbook");
    int taken = 0;
    // when
    while (chooser.choose(bulk, TargetChooser.NONE_EXCLUDED, random) instanceof ChosenServer) {
      taken++;
    }
    // then
    assertThat(taken).isEqualTo(6);
    assertThat(chooseOnce()).isInstanceOf(ChosenServer.class);
  }

  private Choice chooseOnce() {
    return chooser.choose(order, TargetChooser.NONE_EXCLUDED, random);
  }

  private List<ChosenServer> chooseUntilRefused() {
    List<ChosenServer> all = new ArrayList<>();
    while (chooseOnce() instanceof ChosenServer chosen) {
      all.add(chosen);
    }
    return all;
  }

  private void end(ChosenServer chosen, int failing) {
    if (chosen.serverIndex() == failing) {
      chooser.onFailed(chosen);
    } else {
      chooser.onAnswered(chosen, 1_000_000);
    }
  }

  private void tick() {
    clock.advanceMillis(50);
    chooser.tick();
  }
}

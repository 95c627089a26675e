package org.bambooarch.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.link.LinkBudget;
import org.bambooarch.core.link.LinkBudgets;
import org.bambooarch.core.time.ManualClock;
import org.junit.jupiter.api.Test;

class LookupPolicyTest {

  private static final LookupSettings SETTINGS = new LookupSettings(100_000, 30_000_000_000L, 0.5);

  private final ManualClock clock = ManualClock.startingAtZero();
  private final Inventory inventory = TestInventories.small();
  private final LinkBudgets links = LinkBudgets.equalShares(inventory, 10, clock);
  private final LookupPolicy policy = LookupPolicy.create(inventory, links, SETTINGS, clock);

  @Test
  void should_put_the_nearest_instances_first_and_spread_callers_when_all_are_available() {
    // given
    policy.update(instances(true));
    // when / then
    assertThat(namesFor(0)).startsWith("kochi-a-1", "kochi-a-2", "kochi-b-1");
    assertThat(namesFor(1)).startsWith("kochi-a-2", "kochi-a-1", "kochi-b-1");
  }

  @Test
  void should_prefer_another_data_centre_of_the_region_when_the_nearest_is_overloaded() {
    // given
    List<InstanceCandidate> instances = new ArrayList<>();
    instances.add(new InstanceCandidate("kochi-a-1", "kochi-a", "127.0.0.1", 1, true, 0.99));
    instances.add(new InstanceCandidate("kochi-b-1", "kochi-b", "127.0.0.1", 2, true, 0.10));
    policy.update(instances);
    // when / then
    assertThat(namesFor(1).getFirst()).isEqualTo("kochi-b-1");
  }

  @Test
  void should_charge_the_link_and_stop_within_its_share_when_a_region_has_no_instance() {
    // given
    policy.update(instances(false));
    int sent = 0;
    // when
    while (policy.answer("kochi-a", sent) instanceof LookupResult.Instances) {
      sent++;
    }
    policy.tick();
    // then
    long share = TestInventories.CAP_BYTES_PER_SECOND / 10;
    assertThat(sent).isEqualTo(2 * (int) (share / 2 / SETTINGS.callerBytesPerSecond()));
    assertThat(largestGrantInOneSecond(links.find("kozhikode", "kochi").orElseThrow()))
        .isLessThan(share * 55 / 100);
  }

  @Test
  void should_send_callers_to_another_region_again_when_earlier_results_have_expired() {
    // given
    policy.update(instances(false));
    for (int caller = 0; caller < 100; caller++) {
      policy.answer("kochi-a", caller);
    }
    // when
    clock.advanceMillis(32_000);
    policy.tick();
    // then
    assertThat(policy.answer("kochi-a", 0)).isInstanceOf(LookupResult.Instances.class);
  }

  private long largestGrantInOneSecond(LinkBudget budget) {
    long before = budget.movedBytes();
    for (int milli = 0; milli < 1_000; milli++) {
      clock.advanceMillis(1);
      budget.acquireUpTo(Long.MAX_VALUE, PriorityClass.COUNTER);
    }
    return budget.movedBytes() - before;
  }

  private List<String> namesFor(int callerSeed) {
    LookupResult result = policy.answer("kochi-a", callerSeed);
    return ((LookupResult.Instances) result)
        .ordered().stream().map(InstanceCandidate::name).toList();
  }

  private static List<InstanceCandidate> instances(boolean kochiAvailable) {
    List<InstanceCandidate> instances = new ArrayList<>();
    for (String dataCentre : List.of("kozhikode-a", "tvm-a", "kochi-b", "kochi-a")) {
      boolean available = kochiAvailable || !dataCentre.startsWith("kochi");
      for (int n = 2; n >= 1; n--) {
        instances.add(
            new InstanceCandidate(
                dataCentre + "-" + n, dataCentre, "127.0.0.1", 8000 + n, available, 0.3));
      }
    }
    return instances;
  }
}

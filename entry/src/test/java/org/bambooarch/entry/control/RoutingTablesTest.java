package org.bambooarch.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.NetUtil;
import java.util.List;
import java.util.Map;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.inventory.ClientBlock;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Link;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.core.routing.InstanceCandidate;
import org.bambooarch.core.routing.LookupResult;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.entry.lookup.LookupService;
import org.bambooarch.store.InstanceRecord;
import org.junit.jupiter.api.Test;

class RoutingTablesTest {

  private static final Inventory INVENTORY =
      new Inventory(
          List.of(new Region("kochi"), new Region("tvm")),
          List.of(new DataCentre("kochi-a", "kochi"), new DataCentre("tvm-a", "tvm")),
          List.of(
              new Link("kochi", "tvm", 500_000_000L, 55_000),
              new Link("tvm", "kochi", 500_000_000L, 55_000)),
          List.of(),
          List.of(),
          List.of(),
          List.of(new ClientBlock("10.9.0.0/16", "tvm-a")),
          List.of());

  private final RoutingTables routing =
      new RoutingTables("kochi-a", LookupService.settings(), ManualClock.startingAtZero());

  private static InstanceRecord instance(String name, String dataCentre, boolean leaving) {
    return new InstanceRecord(name, dataCentre, "127.0.0.1", 1, 2, leaving);
  }

  private List<String> namesFor(String client) {
    LookupResult answer =
        routing.lookups().lookUp(NetUtil.createInetAddressFromIpAddressString(client));
    return answer instanceof LookupResult.Instances found
        ? found.ordered().stream().map(InstanceCandidate::name).toList()
        : List.of();
  }

  @Test
  void should_list_the_nearest_instance_first_when_a_client_looks_up() {
    // when
    routing.update(
        INVENTORY, List.of(instance("k", "kochi-a", false), instance("t", "tvm-a", false)));
    // then
    assertThat(namesFor("10.9.1.2")).containsExactly("t", "k");
    assertThat(namesFor("192.0.2.1")).containsExactly("k", "t");
  }

  @Test
  void should_omit_instances_when_they_are_leaving_or_drained() {
    // given
    ConfigState drained =
        new ConfigState(1, INVENTORY, Map.of())
            .apply(
                new ConfigChange.SetDrain(
                    new DrainRule(DrainRule.Kind.DATA_CENTRE, "tvm-a"), true));
    // when
    routing.update(
        drained.inventory(),
        List.of(
            instance("k", "kochi-a", false),
            instance("k2", "kochi-a", true),
            instance("t", "tvm-a", false)));
    // then
    assertThat(namesFor("10.9.1.2")).containsExactly("k");
  }
}

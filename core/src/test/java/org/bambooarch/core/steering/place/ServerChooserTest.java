package org.bambooarch.core.steering.place;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bambooarch.core.steering.config.HomeRegions;
import org.bambooarch.core.steering.config.ServicePolicy;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.hash.Hashes;
import org.junit.jupiter.api.Test;

class ServerChooserTest {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final ServicePolicy POLICY = new ServicePolicy("shop", "/", 100, 3_000, 4.2);
  private static final Map<String, String> REGIONS =
      Map.of("north-a", "north", "north-b", "north", "south-a", "south");

  private static InstanceIdentity instance(String name, String region) {
    return new InstanceIdentity(name, 1, region, region + "-a", "a:1", "a:2");
  }

  private static ServerEntry server(int number, String dataCentre) {
    return new ServerEntry("server-" + number, "shop", "10.0.0.1", 80, dataCentre, 5, false, 0, 1);
  }

  private static PlacementQuery query(String object, int priority, HomeRegions homes) {
    return new PlacementQuery(
        "shop",
        "books",
        Hashes.of(object),
        priority,
        600 * NANOS_PER_MILLI,
        2_500 * NANOS_PER_MILLI,
        homes,
        Set.of());
  }

  private final ServerTable table = new ServerTable(REGIONS);
  private final ServerChooser chooser = chooserOf("entry-1", table);

  private static ServerChooser chooserOf(String name, ServerTable table) {
    ServerOwners owners = new ServerOwners(instance(name, "north"));
    return new ServerChooser(table, "north", owners, new LimitShares(owners));
  }

  private void replaceServers(String... dataCentres) {
    List<ServerEntry> entries = new ArrayList<>();
    for (String dataCentre : dataCentres) {
      entries.add(server(entries.size(), dataCentre));
    }
    table.replaceAll(entries, 3_000, 0);
  }

  private static String idOf(Placement placement) {
    return placement instanceof Placement.Chosen chosen ? chosen.server().entry().id() : "none";
  }

  private String choose(PlacementQuery query) {
    return idOf(chooser.choose(query, POLICY, 0));
  }

  @Test
  void should_choose_the_same_server_for_an_object_when_instances_list_servers_in_another_order() {
    replaceServers("north-a", "north-a", "north-b", "north-b");
    ServerTable otherTable = new ServerTable(REGIONS);
    List<ServerEntry> reversed = new ArrayList<>();
    for (int i = 3; i >= 0; i--) {
      reversed.add(server(i, i < 2 ? "north-a" : "north-b"));
    }
    otherTable.replaceAll(reversed, 3_000, 0);
    ServerChooser other = chooserOf("entry-2", otherTable);

    for (int object = 0; object < 50; object++) {
      PlacementQuery query = query("object-" + object, 0, HomeRegions.ALL);
      assertThat(idOf(other.choose(query, POLICY, 0))).isEqualTo(choose(query));
    }
  }

  @Test
  void should_move_only_the_objects_of_a_server_when_it_drains() {
    replaceServers("north-a", "north-a", "north-b", "north-b");
    Map<String, String> before = new HashMap<>();
    for (int object = 0; object < 100; object++) {
      before.put("object-" + object, choose(query("object-" + object, 0, HomeRegions.ALL)));
    }

    table.put(
        new ServerEntry("server-2", "shop", "10.0.0.1", 80, "north-b", 5, true, 0, 1), 3_000, 0);

    before.forEach(
        (object, id) -> {
          String after = choose(query(object, 0, HomeRegions.ALL));
          assertThat(after).isNotEqualTo("server-2");
          if (!id.equals("server-2")) {
            assertThat(after).isEqualTo(id);
          }
        });
  }

  @Test
  void should_refuse_instead_of_warming_another_server_when_the_server_of_an_object_is_full() {
    replaceServers("north-a", "north-a", "north-b", "north-b");
    PlacementQuery query = query("object", 0, HomeRegions.ALL);
    Set<String> chosen = new java.util.HashSet<>();
    Placement placement = chooser.choose(query, POLICY, 0);
    while (placement instanceof Placement.Chosen(ServerState server, int loadBefore)) {
      server.onSent();
      chosen.add(server.entry().id());
      placement = chooser.choose(query, POLICY, 0);
    }

    assertThat(chosen).hasSize(1);
    assertThat(((Placement.NoRoom) placement).retryAfterMillis()).isBetween(100L, 2_000L);
    NoRoomDetails details = ((Placement.NoRoom) placement).details();
    assertThat(details.availableServers()).isEqualTo(4);
    assertThat(details.candidates()).isEqualTo(1);
    assertThat(details.shortestWaitMillis()).isGreaterThan(details.longestWaitMillis());
  }

  @Test
  void should_send_few_requests_to_another_region_when_the_server_of_an_object_is_full() {
    replaceServers("north-a", "north-a", "south-a", "south-a");
    chooser.tick(List.of("shop"), 0);
    PlacementQuery query = query("object", 0, HomeRegions.ALL);
    int asked = 200;
    int sentSouth = 0;
    for (int i = 0; i < asked; i++) {
      if (chooser.choose(query, POLICY, 0)
          instanceof Placement.Chosen(ServerState server, int loadBefore)) {
        boolean south = server.region().equals("south");
        sentSouth += south ? 1 : 0;
        if (!south) {
          server.onSent();
        }
      }
    }

    assertThat(sentSouth).isPositive().isLessThanOrEqualTo(asked / 20 + 4);
  }

  @Test
  void should_accept_only_the_route_that_servers_finish_in_time_when_routes_of_a_service_differ() {
    replaceServers("north-a");
    PlacementQuery books = query("object", 0, HomeRegions.ALL);
    PlacementQuery reports =
        new PlacementQuery(
            "shop",
            "reports",
            books.objectHash(),
            0,
            books.targetLatencyNanos(),
            books.remainingNanos(),
            HomeRegions.ALL,
            Set.of());
    ServerState server = table.find("server-0").orElseThrow();
    for (int i = 0; i < 3; i++) {
      chooser.onServed(reports, server, 0, 10_000 * NANOS_PER_MILLI, 0);
      chooser.onServed(books, server, 0, 50 * NANOS_PER_MILLI, 0);
    }

    assertThat(choose(books)).isEqualTo("server-0");
    assertThat(choose(reports)).isEqualTo("none");
  }

  @Test
  void should_report_a_late_response_when_a_free_server_cannot_respond_before_the_deadline() {
    replaceServers("north-a", "north-a");
    PlacementQuery late =
        new PlacementQuery(
            "shop",
            "books",
            7,
            0,
            600 * NANOS_PER_MILLI,
            NANOS_PER_MILLI,
            HomeRegions.ALL,
            Set.of());

    NoRoomDetails details = ((Placement.NoRoom) chooser.choose(late, POLICY, 0)).details();

    assertThat(details.shortestWaitMillis()).isZero();
    assertThat(details.answerMillis()).isGreaterThan(details.remainingMillis());
  }

  @Test
  void should_report_cold_servers_when_all_servers_have_just_started() {
    replaceServers();
    ServerEntry cold = server(0, "north-a");
    table.put(cold, 3_000, 0);

    NoRoomDetails details =
        ((Placement.NoRoom) chooser.choose(query("object", 0, HomeRegions.ALL), POLICY, 0))
            .details();

    assertThat(details.coldServers()).isEqualTo(1);
    assertThat(details.candidates()).isZero();
  }

  @Test
  void should_report_no_available_server_when_a_service_has_none() {
    replaceServers();

    Placement placement = chooser.choose(query("object", 0, HomeRegions.ALL), POLICY, 0);

    NoRoomDetails details = ((Placement.NoRoom) placement).details();
    assertThat(details.availableServers()).isZero();
    assertThat(details.shortestWaitMillis()).isEqualTo(NoRoomDetails.NONE);
  }

  @Test
  void should_let_requests_of_high_priority_queue_longer_when_the_servers_are_full() {
    replaceServers("north-a", "north-a");
    int byPriority0 = fill(0);
    replaceServers("north-a", "north-a");
    int byPriority2 = fill(2);

    assertThat(byPriority0).isGreaterThan(byPriority2);
  }

  private int fill(int priority) {
    ServerTable own = new ServerTable(REGIONS);
    own.replaceAll(List.of(server(0, "north-a"), server(1, "north-a")), 3_000, 0);
    ServerChooser full = chooserOf("entry-1", own);
    int sent = 0;
    while (full.choose(query("object", priority, HomeRegions.ALL), POLICY, 0)
        instanceof Placement.Chosen(ServerState server, int loadBefore)) {
      server.onSent();
      sent++;
    }
    return sent;
  }

  @Test
  void should_choose_no_server_of_a_data_centre_when_it_is_closed() {
    replaceServers("north-a", "north-b", "north-b");
    table.evacuate("north-b");
    for (int object = 0; object < 30; object++) {
      assertThat(choose(query("object-" + object, 0, HomeRegions.ALL))).isEqualTo("server-0");
    }
  }

  @Test
  void should_choose_a_server_in_the_home_regions_when_a_request_has_some() {
    replaceServers("north-a", "north-b", "south-a", "south-a");
    for (int object = 0; object < 30; object++) {
      assertThat(choose(query("object-" + object, 0, HomeRegions.ofListed(Set.of("south")))))
          .isIn("server-2", "server-3");
    }
  }

  @Test
  void should_refuse_when_the_home_region_has_no_server() {
    replaceServers("north-a", "north-b");
    assertThat(choose(query("object", 0, HomeRegions.ofListed(Set.of("south"))))).isEqualTo("none");
  }

  @Test
  void should_choose_another_server_when_the_first_one_was_unreachable() {
    replaceServers("north-a", "north-a");
    String first = choose(query("object", 0, HomeRegions.ALL));
    table.find(first).orElseThrow().onUnreachable(true, 0);
    assertThat(choose(query("object", 0, HomeRegions.ALL)))
        .isNotEqualTo(first)
        .isNotEqualTo("none");
  }

  @Test
  void should_keep_a_cold_servers_rate_when_all_instances_send_as_much_as_they_may() {
    List<InstanceIdentity> identities = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      identities.add(instance("entry-" + i, i % 2 == 0 ? "north" : "south"));
    }
    List<ServerTable> tables = new ArrayList<>();
    List<ServerChooser> choosers = new ArrayList<>();
    for (InstanceIdentity self : identities) {
      ServerOwners owners = new ServerOwners(self);
      owners.onOtherInstances(identities.stream().filter(other -> !other.equals(self)).toList());
      ServerTable own = new ServerTable(REGIONS);
      own.replaceAll(List.of(), 0, 0);
      own.put(server(0, "north-a"), 600_000, 0);
      tables.add(own);
      choosers.add(new ServerChooser(own, self.region(), owners, new LimitShares(owners)));
    }
    List<Long> sentMillis = new ArrayList<>();
    for (long millis = 0; millis < 20_000; millis += 20) {
      for (int i = 0; i < choosers.size(); i++) {
        Placement placement =
            choosers
                .get(i)
                .choose(
                    query("object-" + millis, 0, HomeRegions.ALL),
                    POLICY,
                    millis * NANOS_PER_MILLI);
        if (placement instanceof Placement.Chosen) {
          sentMillis.add(millis);
        }
      }
    }

    assertThat(sentMillis).hasSizeGreaterThan(20);
    for (long start : sentMillis) {
      long within = sentMillis.stream().filter(at -> at >= start && at < start + 1_000).count();
      // The platform allows 1.5 times the rate, and 5 requests in addition.
      assertThat((double) within).isLessThanOrEqualTo(4.2 * 1.5 + 5);
    }
  }
}

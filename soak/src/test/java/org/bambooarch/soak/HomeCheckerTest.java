package org.bambooarch.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class HomeCheckerTest {

  private static final String ROUTE = "read-north";
  private static final Set<String> BOTH = Set.of("north", "south");

  private final PlayedChanges changes = new PlayedChanges();

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void configure(Set<String> homes, long sentMillis, long ackMillis) {
    changes.onConfiguration(
        new PlayedChanges.Configuration(
            "desk", Map.of(ROUTE, homes), millis(sentMillis), millis(ackMillis)));
  }

  private static ServerRun arrival(
      String route, String region, boolean executed, long sentMillis, long receivedMillis) {
    return arrival(route, "plain", region, executed, sentMillis, receivedMillis);
  }

  private static ServerRun arrival(
      String route,
      String customer,
      String region,
      boolean executed,
      long sentMillis,
      long receivedMillis) {
    ServerRun.Answer answer = new ServerRun.Answer(executed ? 200 : 503, "s", 1, "h");
    return new ServerRun(
        "a",
        1,
        "i-1",
        1,
        1,
        executed,
        "catalogue",
        region,
        route,
        customer,
        millis(sentMillis),
        true,
        answer,
        null,
        Fault.NONE,
        millis(receivedMillis),
        new AtomicLong(),
        new AtomicLong());
  }

  private static Lookup lookup(String clientRegion, String namedRegion, long askedMillis) {
    return new Lookup(
        "north.example",
        clientRegion,
        List.of(new Lookup.Try("front-1", InstanceGroup.State.STOPPING, true)),
        Set.of(namedRegion),
        millis(askedMillis));
  }

  private static HomedRequest request(String clientRegion, String instanceRegion, long sentMillis) {
    return new HomedRequest(
        ROUTE,
        clientRegion,
        "front-1",
        instanceRegion,
        lookup(clientRegion, instanceRegion, sentMillis),
        millis(sentMillis));
  }

  private List<ChangeChecker.Late> outside(ServerRun run) {
    return new HomeChecker(changes).check(List.of(run), List.of()).outside();
  }

  private HomeChecker.Result check(List<HomedRequest> requests) {
    return new HomeChecker(changes).check(List.of(), requests);
  }

  @Test
  void should_find_an_arrival_outside_the_homes_when_no_configuration_ever_allowed_it() {
    configure(Set.of("north"), 0, 1);

    assertThat(outside(arrival(ROUTE, "south", true, 100, 110))).hasSize(1);
    assertThat(outside(arrival(ROUTE, "north", true, 100, 110))).isEmpty();
    assertThat(outside(arrival("read-desk", "south", true, 100, 110))).isEmpty();
  }

  @Test
  void should_find_an_arrival_outside_the_homes_of_its_customer_when_its_route_allows_it() {
    changes.onConfiguration(
        new PlayedChanges.Configuration(
            "desk", Map.of(ROUTE, BOTH, "northern", Set.of("north")), 0, millis(1)));

    assertThat(outside(arrival(ROUTE, "northern", "south", true, 100, 110))).hasSize(1);
    assertThat(outside(arrival(ROUTE, "northern", "north", true, 100, 110))).isEmpty();
    assertThat(outside(arrival(ROUTE, "plain", "south", true, 100, 110))).isEmpty();
  }

  @Test
  void should_find_every_arrival_when_route_and_customer_have_no_home_in_common() {
    changes.onConfiguration(
        new PlayedChanges.Configuration(
            "desk", Map.of(ROUTE, Set.of("south"), "northern", Set.of("north")), 0, millis(1)));

    assertThat(outside(arrival(ROUTE, "northern", "south", true, 100, 110))).hasSize(1);
    assertThat(outside(arrival(ROUTE, "northern", "north", true, 100, 110))).hasSize(1);
  }

  @Test
  void should_find_an_arrival_outside_the_homes_when_the_server_refused_it() {
    configure(Set.of("north"), 0, 1);

    assertThat(outside(arrival(ROUTE, "south", false, 100, 110))).hasSize(1);
  }

  @Test
  void should_find_an_arrival_at_a_former_home_when_it_arrives_past_the_bound() {
    configure(Set.of("north"), 0, 1);
    configure(Set.of("south"), 10_000, 10_010);

    assertThat(outside(arrival(ROUTE, "north", true, 9_000, 12_511)))
        .extracting(ChangeChecker.Late::lateMillis)
        .containsExactly(2_501L);
    assertThat(outside(arrival(ROUTE, "north", true, 12_400, 12_509))).isEmpty();
    assertThat(outside(arrival(ROUTE, "south", true, 10_003, 10_005))).isEmpty();
  }

  @Test
  void should_find_an_arrival_at_a_later_home_when_its_configuration_was_not_sent_yet() {
    configure(Set.of("north"), 0, 1);
    configure(Set.of("south"), 10_000, 10_010);

    assertThat(outside(arrival(ROUTE, "south", true, 9_900, 9_999))).hasSize(1);
  }

  @Test
  void should_allow_a_former_home_when_a_later_configuration_returned_to_it() {
    configure(Set.of("north"), 0, 1);
    configure(Set.of("south"), 10_000, 10_010);
    configure(BOTH, 14_000, 14_010);

    assertThat(outside(arrival(ROUTE, "north", true, 13_990, 14_005))).isEmpty();
    assertThat(outside(arrival(ROUTE, "north", true, 30_000, 30_005))).isEmpty();
  }

  @Test
  void should_excuse_a_former_home_when_the_store_was_silent_within_the_time_of_contact() {
    configure(Set.of("north"), 0, 1);
    configure(Set.of("south"), 10_000, 10_010);
    changes.onSilence(millis(8_000), millis(12_000));

    assertThat(outside(arrival(ROUTE, "north", true, 15_000, 15_990))).isEmpty();
    assertThat(outside(arrival(ROUTE, "north", true, 15_000, 16_010))).hasSize(1);
  }

  @Test
  void should_break_the_share_when_look_ups_lead_more_than_one_in_twenty_requests_elsewhere() {
    configure(Set.of("north"), 0, 1);
    List<HomedRequest> requests = new ArrayList<>();
    requests.add(request("north", "south", 1_000));
    requests.addAll(Collections.nCopies(19, request("north", "north", 1_000)));

    assertThat(check(requests).elsewhere()).hasSize(1);
    assertThat(check(requests).isShareKept()).isTrue();
    assertThat(check(requests.subList(0, 19)).isShareKept()).isFalse();
  }

  @Test
  void should_count_no_request_elsewhere_when_the_instance_is_in_a_home_or_the_clients_region() {
    configure(Set.of("north"), 0, 1);

    assertThat(check(List.of(request("south", "north", 1_000))).elsewhere()).isEmpty();
    assertThat(check(List.of(request("south", "south", 1_000))).elsewhere()).isEmpty();
    assertThat(check(List.of(request("north", "south", 1_000))).elsewhere()).hasSize(1);
  }

  @Test
  void should_count_no_request_elsewhere_when_a_configuration_that_may_be_in_force_has_the_home() {
    configure(BOTH, 0, 1);
    configure(Set.of("north"), 10_000, 10_010);

    assertThat(check(List.of(request("north", "south", 12_509))).elsewhere()).isEmpty();
    assertThat(check(List.of(request("north", "south", 12_511))).elsewhere()).hasSize(1);
    configure(BOTH, 20_000, 20_010);
    assertThat(check(List.of(request("north", "south", 19_999))).elsewhere()).hasSize(1);
    assertThat(check(List.of(request("north", "south", 20_001))).elsewhere()).isEmpty();
  }

  @Test
  void should_judge_no_request_when_something_unplanned_happened_within_fifteen_seconds() {
    configure(Set.of("north"), 0, 1);
    changes.onUnplanned(millis(10_000), millis(12_000));

    assertThat(check(List.of(request("north", "south", 26_999))).judged()).isZero();
    assertThat(check(List.of(request("north", "south", 27_001))).judged()).isEqualTo(1);
    assertThat(check(List.of(request("north", "south", 9_999))).judged()).isEqualTo(1);
  }

  @Test
  void should_tell_look_ups_that_name_a_region_elsewhere() {
    configure(Set.of("north"), 0, 1);
    HomeChecker checker = new HomeChecker(changes);

    assertThat(checker.namesElsewhere(lookup("north", "south", 1_000))).isTrue();
    assertThat(checker.namesElsewhere(lookup("north", "north", 1_000))).isFalse();
    assertThat(checker.namesElsewhere(lookup("south", "south", 1_000))).isFalse();
  }
}

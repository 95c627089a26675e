package org.bambooarch.core.steering.place;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import org.bambooarch.core.steering.fleet.FleetTable;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.ListVersions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

// Incident bluemahoe-codes (LIMIT): servers got more requests than the limit that they had named.
class LimitSharesTest {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long RESPONSE_MILLIS = 90;
  private static final List<String> REGIONS = List.of("north", "south", "west");
  private static final ServerEntry SERVER =
      new ServerEntry("server-1", "shop", "10.0.0.1", 80, "north-a", 5, false, 0, 1);

  /** An instance and what it knows of the server. */
  private static final class Instance {
    final InstanceIdentity self;
    final FleetTable fleet;
    final ServerTable table = new ServerTable(Map.of("north-a", "north"));
    final ServerOwners owners;
    final LimitShares shares;
    long toldMillis = Long.MAX_VALUE;
    boolean cutOff;

    Instance(int number) {
      String region = REGIONS.get(number % REGIONS.size());
      self = new InstanceIdentity("entry-" + number, 1, region, region + "-a", "a:1", "a:2");
      fleet = new FleetTable(self);
      owners = new ServerOwners(self);
      shares = new LimitShares(owners);
      table.replaceAll(List.of(SERVER), 0, 0);
    }

    ServerState server() {
      return table.find(SERVER.id()).orElseThrow();
    }

    Heartbeat heartbeat(long nowNanos) {
      return new Heartbeat(
          self,
          true,
          0,
          false,
          1,
          ListVersions.NONE,
          Map.of(),
          Map.of(),
          table.ownInFlight(),
          table.ownLimits(nowNanos),
          List.of());
    }

    void tick(long nowNanos) {
      Map<Integer, Double> limits = new HashMap<>();
      for (Heartbeat heartbeat : fleet.liveHeartbeats(nowNanos)) {
        heartbeat
            .serverLimits()
            .forEach((server, perSecond) -> limits.merge(server, perSecond, Math::min));
      }
      table.updateReportedLimits(limits);
      owners.onOtherInstances(fleet.possibleSenders(nowNanos));
    }
  }

  private record Response(long atMillis, Instance instance, OptionalDouble limitPerSecond) {}

  private final List<Instance> instances = new ArrayList<>();
  private final PriorityQueue<Response> responses =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));

  /** Times of the requests from instances that knew the limit for half a second or longer. */
  private final List<Long> countedMillis = new ArrayList<>();

  private final List<Long> sentMillis = new ArrayList<>();
  private Random random;
  private long nowMillis;
  private OptionalDouble limitPerSecond = OptionalDouble.empty();

  private void start(int count, long seed) {
    random = new Random(seed);
    for (int i = 0; i < count; i++) {
      instances.add(new Instance(i));
    }
    for (Instance instance : instances) {
      instances.forEach(other -> instance.fleet.onListed(other.self, 0));
      instance.fleet.onListRead(0);
    }
  }

  /** Lets all instances offer requests to the server, at the given rate all together. */
  private void runFor(long millis, double offeredPerSecond) {
    long endMillis = nowMillis + millis;
    while (nowMillis < endMillis) {
      nowMillis++;
      deliverResponses();
      exchangeHeartbeats();
      if (nowMillis % 100 == 0) {
        instances.forEach(instance -> instance.tick(nowNanos()));
      }
      if (random.nextDouble() < offeredPerSecond / 1_000) {
        offer(instances.get(random.nextInt(instances.size())));
      }
    }
  }

  private void offer(Instance instance) {
    if (!instance.shares.tryTake(instance.server(), nowNanos())) {
      return;
    }
    sentMillis.add(nowMillis);
    if (instance.toldMillis <= nowMillis - 500) {
      countedMillis.add(nowMillis);
    }
    responses.add(new Response(nowMillis + RESPONSE_MILLIS, instance, limitPerSecond));
  }

  private void deliverResponses() {
    while (!responses.isEmpty() && responses.peek().atMillis() <= nowMillis) {
      Response response = responses.poll();
      Instance instance = response.instance();
      instance.server().limit().onResponse(response.limitPerSecond(), nowNanos());
      if (response.limitPerSecond().isPresent()) {
        instance.toldMillis = Math.min(instance.toldMillis, nowMillis);
      }
    }
  }

  private void exchangeHeartbeats() {
    for (int i = 0; i < instances.size(); i++) {
      Instance sender = instances.get(i);
      if ((nowMillis + 37L * i) % 500 != 0 || sender.cutOff) {
        continue;
      }
      Heartbeat heartbeat = sender.heartbeat(nowNanos());
      for (Instance recipient : instances) {
        if (recipient != sender && !recipient.cutOff) {
          recipient.fleet.onHeartbeat(heartbeat, nowNanos());
        }
      }
    }
  }

  private long nowNanos() {
    return nowMillis * NANOS_PER_MILLI;
  }

  private int mostIn4Seconds() {
    int most = 0;
    int first = 0;
    for (int last = 0; last < countedMillis.size(); last++) {
      while (countedMillis.get(last) - countedMillis.get(first) >= 4_000) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  private long sentBetween(long fromMillis, long toMillis) {
    return sentMillis.stream().filter(at -> at >= fromMillis && at < toMillis).count();
  }

  /** What the platform allows in 4 s: one and a half times the limit, and 5 requests. */
  private static double allowedIn4Seconds(double limit) {
    return 1.5 * 4 * limit + 5;
  }

  @ParameterizedTest
  @CsvSource({
    "1, 0.5", "1, 8", "2, 1", "9, 0.3", "9, 1", "9, 9.7", "9, 40", "10, 3.5", "81, 1", "81, 8",
    "81, 60"
  })
  void should_keep_to_a_named_limit_and_use_most_of_it_when_far_more_is_offered(
      int instanceCount, double limit) {
    for (int seed = 1; seed <= 5; seed++) {
      instances.clear();
      countedMillis.clear();
      sentMillis.clear();
      nowMillis = 0;
      limitPerSecond = OptionalDouble.empty();
      start(instanceCount, seed);
      runFor(3_000, 300);
      limitPerSecond = OptionalDouble.of(limit);
      runFor(20_000, 300);

      assertThat((double) mostIn4Seconds()).isLessThanOrEqualTo(allowedIn4Seconds(limit));
      assertThat((double) sentBetween(8_000, 23_000)).isGreaterThan(0.6 * limit * 15 - 1);
    }
  }

  @Test
  void should_keep_to_a_named_limit_while_some_instances_are_cut_off_from_the_others() {
    start(9, 1);
    limitPerSecond = OptionalDouble.of(8);
    runFor(5_000, 300);
    instances.get(0).cutOff = true;
    runFor(8_000, 300);
    instances.get(0).cutOff = false;
    runFor(8_000, 300);

    assertThat((double) mostIn4Seconds()).isLessThanOrEqualTo(allowedIn4Seconds(8));
  }

  @Test
  void should_send_as_before_when_the_server_names_the_limit_no_more() {
    start(9, 1);
    limitPerSecond = OptionalDouble.of(8);
    runFor(6_000, 90);
    limitPerSecond = OptionalDouble.empty();
    runFor(6_000, 90);
    final long endedMillis = nowMillis;
    runFor(4_000, 90);

    assertThat(sentBetween(endedMillis, nowMillis)).isGreaterThan(300);
  }

  @Test
  void should_divide_a_limit_by_the_instances_of_the_servers_region() {
    start(9, 1);
    runFor(600, 0);
    for (Instance instance : instances) {
      instance.server().limit().onResponse(OptionalDouble.of(9), nowNanos());
      double share = instance.shares.sharePerSecond(instance.server(), nowNanos());
      assertThat(share).isEqualTo(instance.self.region().equals("north") ? 3 : 0);
    }
  }

  @Test
  void should_forget_the_limit_when_the_server_was_started_again() {
    start(1, 1);
    ServerState server = instances.getFirst().server();
    server.limit().onResponse(OptionalDouble.of(2), 0);
    ServerEntry restarted =
        new ServerEntry("server-1", "shop", "10.0.0.1", 80, "north-a", 5, false, 0, 2);
    instances.getFirst().table.put(restarted, 0, 0);

    assertThat(server.limit().perSecond(0)).isEqualTo(NamedLimit.UNLIMITED);
  }
}

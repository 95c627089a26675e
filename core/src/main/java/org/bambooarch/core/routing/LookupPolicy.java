package org.bambooarch.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Link;
import org.bambooarch.core.link.LinkBudget;
import org.bambooarch.core.link.LinkBudgets;
import org.bambooarch.core.routing.internal.CrossRegionCallers;
import org.bambooarch.core.time.Clock;

/**
 * Tells callers which entry instances to use: the nearest available ones first.
 *
 * <p>A caller that is sent to another region moves its own bytes over the link. Each such answer is
 * charged to this instance's share of the link for as long as the caller keeps it, in the direction
 * of the answers, which is the larger one. When the links are full, the caller is told when to ask
 * again.
 *
 * <p>Traffic threads call {@link #answer}; the control thread calls {@link #update} and {@link
 * #tick}.
 *
 * <pre>{@code
 * LookupResult answer = policy.answer("kochi-a", callerAddress.hashCode());
 * }</pre>
 */
public final class LookupPolicy {

  private static final int MAX_INSTANCES_PER_RESULT = 4;
  private static final int MAX_ROTATIONS = 64;
  private static final long RETRY_AFTER_MILLIS = 2_000;
  private static final double OVERLOAD_THRESHOLD = 0.95;

  private static final int OWN_REGION = -1;
  private static final long UNREACHABLE = Long.MAX_VALUE;
  private static final Comparator<CandidateAtDistance> NEAREST_FIRST =
      Comparator.comparingLong(CandidateAtDistance::distance)
          .thenComparing(candidate -> candidate.instance().name());

  private record RegionPair(String from, String to) {}

  private record CandidateAtDistance(InstanceCandidate instance, long distance) {}

  /** One order of instances, and the link that a caller's answers cross if it follows it. */
  private record InstanceOrder(LookupResult.Instances instances, int link) {}

  private final Inventory inventory;
  private final LookupSettings settings;
  private final Clock clock;
  private final Map<String, String> regionOfDataCentre = new HashMap<>();
  private final Map<RegionPair, Integer> linkIndexes = new HashMap<>();
  private final List<CrossRegionCallers> callersByLink = new ArrayList<>();
  private volatile Map<String, List<InstanceOrder>> instanceOrdersByDataCentre = Map.of();

  private LookupPolicy(
      Inventory inventory, LinkBudgets links, LookupSettings settings, Clock clock) {
    this.inventory = inventory;
    this.settings = settings;
    this.clock = clock;
    for (DataCentre dataCentre : inventory.dataCentres()) {
      regionOfDataCentre.put(dataCentre.name(), dataCentre.region());
    }
    for (int index = 0; index < inventory.links().size(); index++) {
      Link link = inventory.links().get(index);
      linkIndexes.put(new RegionPair(link.fromRegion(), link.toRegion()), index);
    }
    long now = clock.monotonicNanos();
    for (LinkBudget link : links.all()) {
      callersByLink.add(new CrossRegionCallers(link, settings.answerLifetimeNanos(), now));
    }
  }

  /** Returns a policy that knows no instance yet. */
  public static LookupPolicy create(
      Inventory inventory, LinkBudgets links, LookupSettings settings, Clock clock) {
    return new LookupPolicy(inventory, links, settings, clock);
  }

  /** Takes in the present instances and publishes new orders. */
  public void update(List<InstanceCandidate> instances) {
    Map<String, List<InstanceOrder>> next = new HashMap<>();
    for (DataCentre dataCentre : inventory.dataCentres()) {
      next.put(dataCentre.name(), instanceOrdersFor(dataCentre.name(), instances));
    }
    instanceOrdersByDataCentre = Map.copyOf(next);
  }

  /**
   * Returns the instances that a caller should use.
   *
   * @param clientDataCentre data centre nearest to the caller
   * @param callerSeed any number that differs between callers, to spread them
   */
  public LookupResult answer(String clientDataCentre, int callerSeed) {
    List<InstanceOrder> orders =
        instanceOrdersByDataCentre.getOrDefault(clientDataCentre, List.of());
    for (int rotation = 0; rotation < orders.size(); rotation++) {
      InstanceOrder order = orders.get(Math.floorMod(callerSeed + rotation, orders.size()));
      if (order.link() == OWN_REGION || tryAddCaller(order.link())) {
        return order.instances();
      }
    }
    return new LookupResult.RetryLater(RETRY_AFTER_MILLIS);
  }

  /** Forgets answers that have expired and charges the links for the others. */
  public void tick() {
    long now = clock.monotonicNanos();
    for (CrossRegionCallers callers : callersByLink) {
      callers.tick(now, settings.callerBytesPerSecond());
    }
  }

  private boolean tryAddCaller(int link) {
    CrossRegionCallers callers = callersByLink.get(link);
    double bytesPerSecond = callers.link().shareBytesPerSecond() * settings.maxCrossRegionShare();
    return callers.tryAdd((int) (bytesPerSecond / settings.callerBytesPerSecond()));
  }

  private List<InstanceOrder> instanceOrdersFor(
      String dataCentre, List<InstanceCandidate> instances) {
    String region = regionOfDataCentre.get(dataCentre);
    List<CandidateAtDistance> usable = new ArrayList<>();
    for (InstanceCandidate instance : instances) {
      long distance = distance(dataCentre, region, instance);
      if (instance.available() && distance != UNREACHABLE) {
        usable.add(new CandidateAtDistance(instance, distance));
      }
    }
    usable.sort(NEAREST_FIRST);
    int firstTier = tierSize(usable);
    List<InstanceOrder> orders = new ArrayList<>();
    for (int rotation = 0; rotation < Math.min(MAX_ROTATIONS, firstTier); rotation++) {
      List<InstanceCandidate> ordered = rotated(usable, firstTier, rotation);
      String first = regionOf(ordered.getFirst());
      int link = first.equals(region) ? OWN_REGION : linkIndexes.get(new RegionPair(first, region));
      orders.add(new InstanceOrder(new LookupResult.Instances(ordered), link));
    }
    return List.copyOf(orders);
  }

  /** Instances of the own region differ by data centre only while none of them is overloaded. */
  private long distance(String dataCentre, String region, InstanceCandidate instance) {
    String instanceRegion = regionOf(instance);
    if (!instanceRegion.equals(region)) {
      Integer link = linkIndexes.get(new RegionPair(instanceRegion, region));
      return link == null ? UNREACHABLE : 2 + inventory.links().get(link).delayMicros();
    }
    boolean isNear =
        instance.dataCentre().equals(dataCentre) && instance.load() < OVERLOAD_THRESHOLD;
    return isNear ? 0 : 1;
  }

  private static int tierSize(List<CandidateAtDistance> sorted) {
    int size = 0;
    while (size < sorted.size() && sorted.get(size).distance() == sorted.getFirst().distance()) {
      size++;
    }
    return size;
  }

  private static List<InstanceCandidate> rotated(
      List<CandidateAtDistance> sorted, int tier, int rotation) {
    List<InstanceCandidate> ordered = new ArrayList<>();
    for (int position = 0;
        position < Math.min(MAX_INSTANCES_PER_RESULT, sorted.size());
        position++) {
      ordered.add(sorted.get(position < tier ? (position + rotation) % tier : position).instance());
    }
    return List.copyOf(ordered);
  }

  private String regionOf(InstanceCandidate instance) {
    return regionOfDataCentre.getOrDefault(instance.dataCentre(), "");
  }
}

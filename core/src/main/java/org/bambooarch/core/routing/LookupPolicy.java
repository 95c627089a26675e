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
 * Decides which entry instances callers should use, the nearest available ones first.
 *
 * <p>A caller that is sent to an instance in another region transfers its own bytes over the link
 * between the regions. Each such look-up result is charged to this instance's share of the link for
 * as long as the caller may keep it. It is charged in the direction of the responses, which carries
 * more bytes than that of the requests. When the share for such callers is used up, the caller is
 * told when to ask again.
 *
 * <p>Request threads call {@link #answer}; only the control thread calls {@link #update} and {@link
 * #tick}.
 *
 * <pre>{@code
 * LookupResult answer = policy.answer("kochi-a", callerAddress.hashCode());
 * }</pre>
 */
public final class LookupPolicy {

  private static final int MAX_INSTANCES_PER_RESULT = 4;

  /** Bounds the orders that are kept for each data centre. */
  private static final int MAX_ROTATIONS = 64;

  private static final long RETRY_AFTER_MILLIS = 2_000;

  /** Load from which an instance is no longer preferred to those of other data centres. */
  private static final double OVERLOAD_THRESHOLD = 0.95;

  /** Stands for a link index when the instances are in the caller's region. */
  private static final int OWN_REGION = -1;

  private static final long UNREACHABLE = Long.MAX_VALUE;
  private static final Comparator<CandidateAtDistance> NEAREST_FIRST =
      Comparator.comparingLong(CandidateAtDistance::distance)
          .thenComparing(candidate -> candidate.instance().name());

  private record RegionPair(String from, String to) {}

  private record CandidateAtDistance(InstanceCandidate instance, long distance) {}

  /**
   * One order of instances, and the index of the link that responses to the caller cross if the
   * caller uses the first of them, or {@link #OWN_REGION}.
   */
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

  /** Returns a policy that knows no instance until the first call of {@link #update}. */
  public static LookupPolicy create(
      Inventory inventory, LinkBudgets links, LookupSettings settings, Clock clock) {
    return new LookupPolicy(inventory, links, settings, clock);
  }

  /**
   * Replaces the known instances and publishes new orders for look-ups; called by the control
   * thread only.
   */
  public void update(List<InstanceCandidate> instances) {
    Map<String, List<InstanceOrder>> next = new HashMap<>();
    for (DataCentre dataCentre : inventory.dataCentres()) {
      next.put(dataCentre.name(), instanceOrdersFor(dataCentre.name(), instances));
    }
    instanceOrdersByDataCentre = Map.copyOf(next);
  }

  /**
   * Returns the instances that a caller should use, or when it may ask again. Counts the caller on
   * the link if it is sent to another region. A data centre that is not declared gives {@link
   * LookupResult.RetryLater}.
   *
   * @param clientDataCentre name of the data centre nearest to the caller
   * @param callerSeed any number that differs between callers, which spreads them over instances at
   *     the same distance
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

  /**
   * Stops counting callers whose look-up results have expired and charges the links for the others;
   * called by the control thread only.
   */
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

  /**
   * Returns 0 for an instance in the caller's data centre that is not overloaded, 1 for any other
   * instance in the caller's region, 2 plus the link's one-way delay in microseconds for one in
   * another region, and {@link #UNREACHABLE} if no declared link leads from its region to the
   * caller's.
   */
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

  /** Returns how many of the sorted candidates are as near as the first one. */
  private static int tierSize(List<CandidateAtDistance> sorted) {
    int size = 0;
    while (size < sorted.size() && sorted.get(size).distance() == sorted.getFirst().distance()) {
      size++;
    }
    return size;
  }

  /** Rotates only the first tier, which spreads callers over instances at the same distance. */
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

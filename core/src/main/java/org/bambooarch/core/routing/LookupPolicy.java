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
import org.bambooarch.core.routing.internal.SteeredCallers;
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
 * LookupAnswer answer = policy.answer("kochi-a", callerAddress.hashCode());
 * }</pre>
 */
public final class LookupPolicy {

  private static final int MAX_INSTANCES_IN_ANSWER = 4;
  private static final int MAX_ROTATIONS = 64;
  private static final long RETRY_MILLIS = 2_000;
  private static final double OVERLOADED = 0.95;

  private static final int OWN_REGION = -1;
  private static final long UNREACHABLE = Long.MAX_VALUE;
  private static final Comparator<Ranked> NEAREST_FIRST =
      Comparator.comparingLong(Ranked::distance).thenComparing(row -> row.instance().name());

  private record RegionPair(String from, String to) {}

  private record Ranked(EntryInstance instance, long distance) {}

  /** One order of instances, and the link that a caller's answers cross if it follows it. */
  private record Order(LookupAnswer.Instances instances, int link) {}

  private final Inventory inventory;
  private final LookupSettings settings;
  private final Clock clock;
  private final Map<String, String> regionOfDataCentre = new HashMap<>();
  private final Map<RegionPair, Integer> linkRows = new HashMap<>();
  private final List<SteeredCallers> steered = new ArrayList<>();
  private volatile Map<String, List<Order>> ordersByDataCentre = Map.of();

  private LookupPolicy(
      Inventory inventory, LinkBudgets links, LookupSettings settings, Clock clock) {
    this.inventory = inventory;
    this.settings = settings;
    this.clock = clock;
    for (DataCentre dataCentre : inventory.dataCentres()) {
      regionOfDataCentre.put(dataCentre.name(), dataCentre.region());
    }
    for (int row = 0; row < inventory.links().size(); row++) {
      Link link = inventory.links().get(row);
      linkRows.put(new RegionPair(link.fromRegion(), link.toRegion()), row);
    }
    long now = clock.monotonicNanos();
    for (LinkBudget link : links.rows()) {
      steered.add(new SteeredCallers(link, settings.answerLifetimeNanos(), now));
    }
  }

  /** Returns a policy that knows no instance yet. */
  public static LookupPolicy create(
      Inventory inventory, LinkBudgets links, LookupSettings settings, Clock clock) {
    return new LookupPolicy(inventory, links, settings, clock);
  }

  /** Takes in the present instances and publishes new orders. */
  public void update(List<EntryInstance> instances) {
    Map<String, List<Order>> next = new HashMap<>();
    for (DataCentre dataCentre : inventory.dataCentres()) {
      next.put(dataCentre.name(), ordersFor(dataCentre.name(), instances));
    }
    ordersByDataCentre = Map.copyOf(next);
  }

  /**
   * Returns the instances that a caller should use.
   *
   * @param clientDataCentre data centre nearest to the caller
   * @param callerSeed any number that differs between callers, to spread them
   */
  public LookupAnswer answer(String clientDataCentre, int callerSeed) {
    List<Order> orders = ordersByDataCentre.getOrDefault(clientDataCentre, List.of());
    for (int turn = 0; turn < orders.size(); turn++) {
      Order order = orders.get(Math.floorMod(callerSeed + turn, orders.size()));
      if (order.link() == OWN_REGION || trySteer(order.link())) {
        return order.instances();
      }
    }
    return new LookupAnswer.ComeBack(RETRY_MILLIS);
  }

  /** Forgets answers that have expired and charges the links for the others. */
  public void tick() {
    long now = clock.monotonicNanos();
    for (SteeredCallers row : steered) {
      row.tick(now, settings.callerBytesPerSecond());
    }
  }

  private boolean trySteer(int link) {
    SteeredCallers row = steered.get(link);
    double bytesPerSecond = row.link().shareBytesPerSecond() * settings.steeredShare();
    return row.tryAdd((int) (bytesPerSecond / settings.callerBytesPerSecond()));
  }

  private List<Order> ordersFor(String dataCentre, List<EntryInstance> instances) {
    String region = regionOfDataCentre.get(dataCentre);
    List<Ranked> usable = new ArrayList<>();
    for (EntryInstance instance : instances) {
      long distance = distance(dataCentre, region, instance);
      if (instance.available() && distance != UNREACHABLE) {
        usable.add(new Ranked(instance, distance));
      }
    }
    usable.sort(NEAREST_FIRST);
    int firstTier = tierSize(usable);
    List<Order> orders = new ArrayList<>();
    for (int turn = 0; turn < Math.min(MAX_ROTATIONS, firstTier); turn++) {
      List<EntryInstance> ordered = rotated(usable, firstTier, turn);
      String first = regionOf(ordered.getFirst());
      int link = first.equals(region) ? OWN_REGION : linkRows.get(new RegionPair(first, region));
      orders.add(new Order(new LookupAnswer.Instances(ordered), link));
    }
    return List.copyOf(orders);
  }

  /** Instances of the own region differ by data centre only while none of them is overloaded. */
  private long distance(String dataCentre, String region, EntryInstance instance) {
    String instanceRegion = regionOf(instance);
    if (!instanceRegion.equals(region)) {
      Integer link = linkRows.get(new RegionPair(instanceRegion, region));
      return link == null ? UNREACHABLE : 2 + inventory.links().get(link).delayMicros();
    }
    boolean isNear = instance.dataCentre().equals(dataCentre) && instance.load() < OVERLOADED;
    return isNear ? 0 : 1;
  }

  private static int tierSize(List<Ranked> sorted) {
    int size = 0;
    while (size < sorted.size() && sorted.get(size).distance() == sorted.getFirst().distance()) {
      size++;
    }
    return size;
  }

  private static List<EntryInstance> rotated(List<Ranked> sorted, int tier, int turn) {
    List<EntryInstance> ordered = new ArrayList<>();
    for (int at = 0; at < Math.min(MAX_INSTANCES_IN_ANSWER, sorted.size()); at++) {
      ordered.add(sorted.get(at < tier ? (at + turn) % tier : at).instance());
    }
    return List.copyOf(ordered);
  }

  private String regionOf(EntryInstance instance) {
    return regionOfDataCentre.getOrDefault(instance.dataCentre(), "");
  }
}

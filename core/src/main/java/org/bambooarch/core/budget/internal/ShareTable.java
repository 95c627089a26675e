package org.bambooarch.core.budget.internal;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bambooarch.core.budget.BudgetResource;
import org.bambooarch.core.budget.ShareAmount;
import org.bambooarch.core.budget.ShareBalance;

/**
 * The table of this instance's shares of all resources.
 *
 * <p>Only the control thread changes it; the threads that serve requests see only the configured
 * resources.
 */
public final class ShareTable {

  private final Map<String, ResourceShare> all = new TreeMap<>();
  private volatile Map<String, ResourceShare> configured = Map.of();
  private long grantedBaseUnits;
  private final Map<String, ShareBalance> grantedExtras = new HashMap<>();

  /** Returns the share of a resource, or null if it is not configured; safe on any thread. */
  public ResourceShare configured(String resource) {
    return configured.get(resource);
  }

  /** Returns the shares of all configured resources. */
  public Collection<ResourceShare> configured() {
    return configured.values();
  }

  /**
   * Replaces the limits of all resources. A resource that is no longer configured keeps its share,
   * so that it can be configured again.
   */
  public void configure(List<BudgetResource> resources, long nowNanos) {
    Map<String, ResourceShare> next = new TreeMap<>();
    for (BudgetResource resource : resources) {
      ResourceShare share = share(resource.name(), nowNanos);
      share.refill(nowNanos);
      share.setLimits(resource);
      next.put(resource.name(), share);
    }
    configured = next;
  }

  /** Returns the shares of all resources, also of those that are not configured. */
  Collection<ResourceShare> all() {
    return all.values();
  }

  /**
   * Returns the share of a resource; a resource seen for the first time starts with what was
   * granted until now, without tokens.
   */
  ResourceShare share(String resource, long nowNanos) {
    ResourceShare known = all.get(resource);
    if (known != null) {
      return known;
    }
    ResourceShare share = new ResourceShare(resource, nowNanos);
    share.add(empty(grantedBaseUnits, grantedBaseUnits));
    ShareBalance extra = grantedExtras.get(resource);
    if (extra != null) {
      share.add(empty(extra.rateUnits(), extra.capacityUnits()));
    }
    all.put(resource, share);
    return share;
  }

  /**
   * Adds granted shares, all of them without tokens.
   *
   * @param baseUnits units of the rate and capacity of every resource
   * @param extras amounts of single resources, which are added to the base
   * @param nowNanos time up to which the shares are refilled before
   */
  void grant(long baseUnits, List<ShareBalance> extras, long nowNanos) {
    for (ShareBalance extra : extras) {
      share(extra.resource(), nowNanos);
    }
    for (ResourceShare share : all.values()) {
      share.refill(nowNanos);
      share.add(empty(baseUnits, baseUnits));
    }
    for (ShareBalance extra : extras) {
      all.get(extra.resource()).add(empty(extra.rateUnits(), extra.capacityUnits()));
      grantedExtras.merge(extra.resource(), extra, ShareBalance::plus);
    }
    grantedBaseUnits += baseUnits;
  }

  /** Empties every share, because other members have reclaimed them. */
  void clear() {
    grantedBaseUnits = 0;
    grantedExtras.clear();
    for (ResourceShare share : all.values()) {
      share.clear();
    }
  }

  private static ShareAmount empty(long rateUnits, long capacityUnits) {
    return new ShareAmount(rateUnits, 0, capacityUnits);
  }
}

package org.bambooarch.core.steering.config;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/** The regions that may serve a request. */
public sealed interface HomeRegions {

  /** All regions, those that are unknown here included. */
  HomeRegions ALL = new All();

  /** No region at all. */
  HomeRegions NONE = new Only(Set.of());

  /** Returns whether the region may serve the request. */
  boolean permits(String region);

  /** Returns the regions that both permit; none if they have none in common. */
  HomeRegions and(HomeRegions other);

  /** Returns the regions that a route or a customer lists; a list without any permits all. */
  static HomeRegions ofListed(Collection<String> regions) {
    return regions.isEmpty() ? ALL : new Only(Set.copyOf(regions));
  }

  /** Permits all regions. */
  record All() implements HomeRegions {

    @Override
    public boolean permits(String region) {
      return true;
    }

    @Override
    public HomeRegions and(HomeRegions other) {
      return other;
    }
  }

  /**
   * Permits the regions of a set.
   *
   * @param regions the permitted regions; if empty, none is
   */
  record Only(Set<String> regions) implements HomeRegions {

    /** Makes an unmodifiable copy of the set. */
    public Only {
      regions = Set.copyOf(regions);
    }

    @Override
    public boolean permits(String region) {
      return regions.contains(region);
    }

    @Override
    public HomeRegions and(HomeRegions other) {
      return switch (other) {
        case All all -> this;
        case Only(Set<String> otherRegions) -> {
          Set<String> common = new HashSet<>(regions);
          common.retainAll(otherRegions);
          yield new Only(common);
        }
      };
    }
  }
}

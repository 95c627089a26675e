package org.bambooarch.core.membership.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.bambooarch.core.membership.InstanceAddress;
import org.bambooarch.core.membership.MembershipSettings;

/**
 * Decides which instances exchange heartbeats with this one.
 *
 * <p>A small fleet is a full mesh. In a larger one an instance watches its own data centre, and the
 * first few of each data centre, its relays, also watch the relays of all others. A data centre
 * whose relays are all silent is watched whole, so that its end is seen at once.
 */
final class WatchPlan {

  private final MembershipSettings settings;
  private final InstanceAddress self;

  WatchPlan(MembershipSettings settings, InstanceAddress self) {
    this.settings = settings;
    this.self = self;
  }

  Set<Entry> watched(InstanceTable table) {
    if (table.all().size() < settings.fullMeshInstances()) {
      return new HashSet<>(table.all());
    }
    Map<String, List<Entry>> byDataCentre = new TreeMap<>();
    for (Entry entry : table.all()) {
      byDataCentre.computeIfAbsent(entry.address.dataCentre(), dc -> new ArrayList<>()).add(entry);
    }
    List<Entry> near = byDataCentre.getOrDefault(self.dataCentre(), List.of());
    Set<Entry> watched = new HashSet<>(near);
    if (!isRelay(near)) {
      return watched;
    }
    byDataCentre.remove(self.dataCentre());
    for (List<Entry> far : byDataCentre.values()) {
      List<Entry> relays = relays(far);
      watched.addAll(relays.isEmpty() ? far : relays);
    }
    return watched;
  }

  private boolean isRelay(List<Entry> near) {
    int before = 0;
    for (Entry entry : near) {
      if (entry.isUp() && entry.address.name().compareTo(self.name()) < 0) {
        before++;
      }
    }
    return before < settings.relaysPerDataCentre();
  }

  private List<Entry> relays(List<Entry> members) {
    return members.stream()
        .filter(Entry::isUp)
        .sorted(Comparator.comparing(entry -> entry.address.name()))
        .limit(settings.relaysPerDataCentre())
        .toList();
  }
}

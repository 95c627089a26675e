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
 * whose relays are all silent is monitored whole, so that its end is seen at once.
 */
final class HeartbeatTopology {

  private final MembershipSettings settings;
  private final InstanceAddress self;

  HeartbeatTopology(MembershipSettings settings, InstanceAddress self) {
    this.settings = settings;
    this.self = self;
  }

  Set<InstanceRecord> monitoredInstances(InstanceTable table) {
    if (table.all().size() < settings.maxFullMeshInstances()) {
      return new HashSet<>(table.all());
    }
    Map<String, List<InstanceRecord>> byDataCentre = new TreeMap<>();
    for (InstanceRecord record : table.all()) {
      byDataCentre
          .computeIfAbsent(record.address.dataCentre(), dc -> new ArrayList<>())
          .add(record);
    }
    List<InstanceRecord> local = byDataCentre.getOrDefault(self.dataCentre(), List.of());
    Set<InstanceRecord> monitored = new HashSet<>(local);
    if (!isRelay(local)) {
      return monitored;
    }
    byDataCentre.remove(self.dataCentre());
    for (List<InstanceRecord> remote : byDataCentre.values()) {
      List<InstanceRecord> relays = relays(remote);
      monitored.addAll(relays.isEmpty() ? remote : relays);
    }
    return monitored;
  }

  private boolean isRelay(List<InstanceRecord> local) {
    int precedingRelayCandidates = 0;
    for (InstanceRecord record : local) {
      if (record.isUp() && record.address.name().compareTo(self.name()) < 0) {
        precedingRelayCandidates++;
      }
    }
    return precedingRelayCandidates < settings.relaysPerDataCentre();
  }

  private List<InstanceRecord> relays(List<InstanceRecord> members) {
    return members.stream()
        .filter(InstanceRecord::isUp)
        .sorted(Comparator.comparing(record -> record.address.name()))
        .limit(settings.relaysPerDataCentre())
        .toList();
  }
}

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
 * Decides which instances this one monitors and sends heartbeats to.
 *
 * <p>A small fleet is a full mesh. In a larger fleet an instance monitors its own data centre. The
 * first few instances of each data centre by name that are up, its relays, also monitor the relays
 * of all other data centres. If a data centre has no instance that is up, the relays of the others
 * monitor all its instances, so that its failure is seen at once.
 */
final class HeartbeatTopology {

  private final MembershipSettings settings;
  private final InstanceAddress self;

  HeartbeatTopology(MembershipSettings settings, InstanceAddress self) {
    this.settings = settings;
    this.self = self;
  }

  Set<MemberState> monitoredInstances(InstanceTable table) {
    if (table.all().size() < settings.maxFullMeshInstances()) {
      return new HashSet<>(table.all());
    }
    Map<String, List<MemberState>> byDataCentre = new TreeMap<>();
    for (MemberState member : table.all()) {
      byDataCentre
          .computeIfAbsent(member.address.dataCentre(), dc -> new ArrayList<>())
          .add(member);
    }
    List<MemberState> local = byDataCentre.getOrDefault(self.dataCentre(), List.of());
    Set<MemberState> monitored = new HashSet<>(local);
    if (!isRelay(local)) {
      return monitored;
    }
    byDataCentre.remove(self.dataCentre());
    for (List<MemberState> remote : byDataCentre.values()) {
      List<MemberState> relays = relays(remote);
      monitored.addAll(relays.isEmpty() ? remote : relays);
    }
    return monitored;
  }

  private boolean isRelay(List<MemberState> local) {
    int precedingRelayCandidates = 0;
    for (MemberState member : local) {
      if (member.isUp() && member.address.name().compareTo(self.name()) < 0) {
        precedingRelayCandidates++;
      }
    }
    return precedingRelayCandidates < settings.relaysPerDataCentre();
  }

  private List<MemberState> relays(List<MemberState> members) {
    return members.stream()
        .filter(MemberState::isUp)
        .sorted(Comparator.comparing(member -> member.address.name()))
        .limit(settings.relaysPerDataCentre())
        .toList();
  }
}

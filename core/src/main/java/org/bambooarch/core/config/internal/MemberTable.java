package org.bambooarch.core.config.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.bambooarch.core.config.ReplicationMember;
import org.bambooarch.core.config.ReplicationSettings;

/** The live instances, grouped by data centre, and the readers among them. */
public final class MemberTable {

  private final ReplicationSettings settings;
  private final Map<String, ReplicationMember> membersByInstance = new HashMap<>();
  private final TreeMap<String, List<String>> readersByDataCentre = new TreeMap<>();
  private Set<String> storeRegionDataCentres = Set.of();

  /** Creates a table with this instance only. */
  public MemberTable(ReplicationSettings settings) {
    this.settings = settings;
    update(List.of(), Set.of());
  }

  /** Replaces the members; this instance is always one of them. */
  public void update(Collection<ReplicationMember> members, Set<String> newStoreRegionDataCentres) {
    storeRegionDataCentres = Set.copyOf(newStoreRegionDataCentres);
    membersByInstance.clear();
    for (ReplicationMember member : members) {
      membersByInstance.put(member.instance(), member);
    }
    String self = settings.instance();
    membersByInstance.put(self, new ReplicationMember(self, settings.dataCentre()));
    readersByDataCentre.clear();
    for (ReplicationMember member : membersByInstance.values()) {
      readersByDataCentre.computeIfAbsent(member.dataCentre(), this::electReaders);
    }
  }

  private List<String> electReaders(String dataCentre) {
    return ReaderElection.readers(
        membersByInstance.values(), dataCentre, settings.readersPerDataCentre());
  }

  /** Returns whether this instance reads the table for its data centre. */
  public boolean isReader() {
    return localReaders().contains(settings.instance());
  }

  /** Returns whether another instance reads the table for this one's data centre. */
  public boolean isLocalReader(String instance) {
    return localReaders().contains(instance);
  }

  private List<String> localReaders() {
    return readersByDataCentre.get(settings.dataCentre());
  }

  /** Returns the data centre of a member, or an empty text for a stranger. */
  public String dataCentreOf(String instance) {
    ReplicationMember member = membersByInstance.get(instance);
    return member == null ? "" : member.dataCentre();
  }

  /** Returns all instances. */
  public Set<String> instances() {
    return membersByInstance.keySet();
  }

  /** Returns the other members of this instance's data centre. */
  public List<String> localPeers() {
    List<String> found = new ArrayList<>();
    for (ReplicationMember member : membersByInstance.values()) {
      boolean self = member.instance().equals(settings.instance());
      if (!self && member.dataCentre().equals(settings.dataCentre())) {
        found.add(member.instance());
      }
    }
    found.sort(null);
    return found;
  }

  /** Returns the other readers of this instance's data centre. */
  public List<String> otherLocalReaders() {
    List<String> found = new ArrayList<>(localReaders());
    found.remove(settings.instance());
    return found;
  }

  /**
   * Returns readers elsewhere: one of each data centre beside the store, and one of one other data
   * centre; successive rounds take them in turn.
   */
  public List<String> remoteReaders(long round) {
    List<String> found = new ArrayList<>();
    List<String> others = new ArrayList<>();
    for (Map.Entry<String, List<String>> entry : readersByDataCentre.entrySet()) {
      List<String> readers = entry.getValue();
      String reader = readers.get((int) Math.floorMod(round, (long) readers.size()));
      if (entry.getKey().equals(settings.dataCentre())) {
        continue;
      }
      (storeRegionDataCentres.contains(entry.getKey()) ? found : others).add(reader);
    }
    if (!others.isEmpty()) {
      found.add(others.get((int) Math.floorMod(round, (long) others.size())));
    }
    return found;
  }
}

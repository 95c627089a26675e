package org.bambooarch.core.config.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.bambooarch.core.config.SpreadMember;
import org.bambooarch.core.config.SpreadSettings;

/** The live instances, grouped by data centre, and the readers among them. */
public final class MemberTable {

  private final SpreadSettings settings;
  private final Map<String, SpreadMember> membersByInstance = new HashMap<>();
  private final TreeMap<String, List<String>> readersByDataCentre = new TreeMap<>();
  private Set<String> dataCentresBesideStore = Set.of();

  /** Creates a table with this instance only. */
  public MemberTable(SpreadSettings settings) {
    this.settings = settings;
    update(List.of(), Set.of());
  }

  /** Replaces the members; this instance is always one of them. */
  public void update(Collection<SpreadMember> members, Set<String> besideStore) {
    dataCentresBesideStore = Set.copyOf(besideStore);
    membersByInstance.clear();
    for (SpreadMember member : members) {
      membersByInstance.put(member.instance(), member);
    }
    String self = settings.instance();
    membersByInstance.put(self, new SpreadMember(self, settings.dataCentre()));
    readersByDataCentre.clear();
    for (SpreadMember member : membersByInstance.values()) {
      readersByDataCentre.computeIfAbsent(member.dataCentre(), this::electReaders);
    }
  }

  private List<String> electReaders(String dataCentre) {
    return ReaderElection.readers(
        membersByInstance.values(), dataCentre, settings.readersPerDataCentre());
  }

  /** Returns whether this instance reads the table for its data centre. */
  public boolean isReader() {
    return ownReaders().contains(settings.instance());
  }

  /** Returns whether another instance reads the table for this one's data centre. */
  public boolean isOwnReader(String instance) {
    return ownReaders().contains(instance);
  }

  private List<String> ownReaders() {
    return readersByDataCentre.get(settings.dataCentre());
  }

  /** Returns the data centre of a member, or an empty text for a stranger. */
  public String dataCentreOf(String instance) {
    SpreadMember member = membersByInstance.get(instance);
    return member == null ? "" : member.dataCentre();
  }

  /** Returns all instances. */
  public Set<String> instances() {
    return membersByInstance.keySet();
  }

  /** Returns the other members of this instance's data centre. */
  public List<String> neighbours() {
    List<String> found = new ArrayList<>();
    for (SpreadMember member : membersByInstance.values()) {
      boolean self = member.instance().equals(settings.instance());
      if (!self && member.dataCentre().equals(settings.dataCentre())) {
        found.add(member.instance());
      }
    }
    found.sort(null);
    return found;
  }

  /** Returns the other readers of this instance's data centre. */
  public List<String> nearReaders() {
    List<String> found = new ArrayList<>(ownReaders());
    found.remove(settings.instance());
    return found;
  }

  /**
   * Returns readers elsewhere: one of each data centre beside the store, and one of one other data
   * centre; successive rounds take them in turn.
   */
  public List<String> distantReaders(long round) {
    List<String> found = new ArrayList<>();
    List<String> others = new ArrayList<>();
    for (Map.Entry<String, List<String>> entry : readersByDataCentre.entrySet()) {
      List<String> readers = entry.getValue();
      String reader = readers.get((int) Math.floorMod(round, (long) readers.size()));
      if (entry.getKey().equals(settings.dataCentre())) {
        continue;
      }
      (dataCentresBesideStore.contains(entry.getKey()) ? found : others).add(reader);
    }
    if (!others.isEmpty()) {
      found.add(others.get((int) Math.floorMod(round, (long) others.size())));
    }
    return found;
  }
}

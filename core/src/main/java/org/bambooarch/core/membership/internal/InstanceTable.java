package org.bambooarch.core.membership.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bambooarch.core.membership.Instance;
import org.bambooarch.core.membership.InstanceAddress;
import org.bambooarch.core.membership.InstanceStatus;

/** The table of all other instances; used by the control thread only. */
final class InstanceTable {

  private static final int TELLINGS_PER_DOUBLING = 3;

  private final Map<String, Entry> entries = new TreeMap<>();

  Entry get(String name) {
    return entries.get(name);
  }

  Collection<Entry> all() {
    return entries.values();
  }

  /** Returns how often a change is told, enough to reach all others by heartbeats. */
  int newTellings() {
    int doublings = 32 - Integer.numberOfLeadingZeros(entries.size() + 1);
    return TELLINGS_PER_DOUBLING * doublings;
  }

  Entry add(InstanceAddress address, long incarnation, InstanceStatus status, long nowNanos) {
    Entry entry = new Entry(address, incarnation, status, nowNanos);
    entries.put(address.name(), entry);
    entry.tellings = newTellings();
    return entry;
  }

  void removeForgotten(long nowNanos, long forgetNanos) {
    entries
        .values()
        .removeIf(
            entry ->
                entry.status == InstanceStatus.DEAD
                    && !entry.listed
                    && nowNanos - entry.evidenceNanos >= forgetNanos);
  }

  List<Instance> snapshot() {
    List<Instance> instances = new ArrayList<>();
    for (Entry entry : entries.values()) {
      instances.add(entry.snapshot());
    }
    return instances;
  }
}

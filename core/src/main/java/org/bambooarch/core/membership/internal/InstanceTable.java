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

  private static final int TRANSMISSIONS_PER_DOUBLING = 3;

  private final Map<String, InstanceRecord> records = new TreeMap<>();

  InstanceRecord get(String name) {
    return records.get(name);
  }

  Collection<InstanceRecord> all() {
    return records.values();
  }

  /** Returns how often a change is told, enough to reach all others by heartbeats. */
  int transmissionLimit() {
    int doublings = 32 - Integer.numberOfLeadingZeros(records.size() + 1);
    return TRANSMISSIONS_PER_DOUBLING * doublings;
  }

  InstanceRecord add(
      InstanceAddress address, long incarnation, InstanceStatus status, long nowNanos) {
    InstanceRecord record = new InstanceRecord(address, incarnation, status, nowNanos);
    records.put(address.name(), record);
    record.remainingTransmissions = transmissionLimit();
    return record;
  }

  void removeExpired(long nowNanos, long forgetTimeoutNanos) {
    records
        .values()
        .removeIf(
            record ->
                record.status == InstanceStatus.DEAD
                    && !record.listed
                    && nowNanos - record.lastEvidenceNanos >= forgetTimeoutNanos);
  }

  List<Instance> snapshot() {
    List<Instance> instances = new ArrayList<>();
    for (InstanceRecord record : records.values()) {
      instances.add(record.snapshot());
    }
    return instances;
  }
}

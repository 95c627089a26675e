package org.bambooarch.core.membership.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bambooarch.core.membership.Instance;
import org.bambooarch.core.membership.InstanceAddress;
import org.bambooarch.core.membership.InstanceStatus;

/** All other known instances by name; used by the control thread only. */
final class InstanceTable {

  private static final int TRANSMISSIONS_PER_DOUBLING = 3;

  private final Map<String, InstanceRecord> records = new TreeMap<>();

  InstanceRecord get(String name) {
    return records.get(name);
  }

  Collection<InstanceRecord> all() {
    return records.values();
  }

  /**
   * Returns the number of heartbeat rounds that carry one change, enough to reach all instances. It
   * grows with the logarithm of the size of the fleet.
   */
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

  /** Removes dead instances that are not listed and have been silent for the given time. */
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

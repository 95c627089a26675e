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

  private final Map<String, MemberState> members = new TreeMap<>();

  MemberState get(String name) {
    return members.get(name);
  }

  Collection<MemberState> all() {
    return members.values();
  }

  /**
   * Returns the number of heartbeat rounds that carry one change, enough to reach all instances. It
   * grows with the logarithm of the size of the fleet.
   */
  int transmissionLimit() {
    int doublings = 32 - Integer.numberOfLeadingZeros(members.size() + 1);
    return TRANSMISSIONS_PER_DOUBLING * doublings;
  }

  MemberState add(InstanceAddress address, long incarnation, InstanceStatus status, long nowNanos) {
    MemberState member = new MemberState(address, incarnation, status, nowNanos);
    members.put(address.name(), member);
    member.remainingTransmissions = transmissionLimit();
    return member;
  }

  /** Removes dead instances that are not listed and have been silent for the given time. */
  void removeExpired(long nowNanos, long forgetTimeoutNanos) {
    members
        .values()
        .removeIf(
            member ->
                member.status == InstanceStatus.DEAD
                    && !member.listed
                    && nowNanos - member.lastEvidenceNanos >= forgetTimeoutNanos);
  }

  List<Instance> snapshot() {
    List<Instance> instances = new ArrayList<>();
    for (MemberState member : members.values()) {
      instances.add(member.snapshot());
    }
    return instances;
  }
}

package org.bambooarch.core.membership.internal;

import org.bambooarch.core.membership.Instance;
import org.bambooarch.core.membership.InstanceAddress;
import org.bambooarch.core.membership.InstanceStatus;

/** What this instance knows of another one. */
final class Entry {

  InstanceAddress address;
  long incarnation;
  InstanceStatus status;
  long evidenceNanos;
  long directNanos;
  boolean everHeard;
  boolean listed;
  int tellings;

  Entry(InstanceAddress address, long incarnation, InstanceStatus status, long nowNanos) {
    this.address = address;
    this.incarnation = incarnation;
    this.status = status;
    this.evidenceNanos = nowNanos;
    this.directNanos = nowNanos;
  }

  /** Changes the status and lets the change be told to others again. */
  void become(InstanceStatus next, int newTellings) {
    if (status != next) {
      status = next;
      tellings = newTellings;
    }
  }

  boolean isUp() {
    return status == InstanceStatus.ALIVE || status == InstanceStatus.LEAVING;
  }

  Instance snapshot() {
    return new Instance(address, incarnation, status);
  }
}

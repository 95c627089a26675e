package org.bambooarch.core.membership.internal;

import org.bambooarch.core.membership.Instance;
import org.bambooarch.core.membership.InstanceAddress;
import org.bambooarch.core.membership.InstanceStatus;

/** What this instance knows of another one. */
final class InstanceRecord {

  InstanceAddress address;
  long incarnation;
  InstanceStatus status;
  long lastEvidenceNanos;
  long lastHeartbeatNanos;
  boolean heartbeatReceived;
  boolean listed;
  int remainingTransmissions;

  InstanceRecord(InstanceAddress address, long incarnation, InstanceStatus status, long nowNanos) {
    this.address = address;
    this.incarnation = incarnation;
    this.status = status;
    this.lastEvidenceNanos = nowNanos;
    this.lastHeartbeatNanos = nowNanos;
  }

  /** Changes the status and lets the change be told to others again. */
  void changeStatus(InstanceStatus next, int transmissionLimit) {
    if (status != next) {
      status = next;
      remainingTransmissions = transmissionLimit;
    }
  }

  boolean isUp() {
    return status == InstanceStatus.ALIVE || status == InstanceStatus.LEAVING;
  }

  Instance snapshot() {
    return new Instance(address, incarnation, status);
  }
}

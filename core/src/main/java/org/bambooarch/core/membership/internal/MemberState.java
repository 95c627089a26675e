package org.bambooarch.core.membership.internal;

import org.bambooarch.core.membership.Instance;
import org.bambooarch.core.membership.InstanceAddress;
import org.bambooarch.core.membership.InstanceStatus;

/**
 * What this instance knows about another one.
 *
 * <p>Mutable; used by the control thread only. All times are on this instance's monotonic clock.
 */
final class MemberState {

  InstanceAddress address;
  long incarnation;
  InstanceStatus status;

  /**
   * Start of its silence: when it was added, sent a heartbeat, was reported as heard by another
   * instance, or was reported with a higher incarnation. Moved forward by pauses of this process.
   */
  long lastEvidenceNanos;

  /** When it last sent a heartbeat to this instance; before the first, when it was added. */
  long lastHeartbeatNanos;

  /** Whether it has ever sent a heartbeat to this instance. */
  boolean heartbeatReceived;

  /** Whether the latest list of the platform names it. */
  boolean listed;

  /** Number of heartbeat rounds that still carry its latest change. */
  int remainingTransmissions;

  MemberState(InstanceAddress address, long incarnation, InstanceStatus status, long nowNanos) {
    this.address = address;
    this.incarnation = incarnation;
    this.status = status;
    this.lastEvidenceNanos = nowNanos;
    this.lastHeartbeatNanos = nowNanos;
  }

  /** Sets the status; a change is sent to other instances again, up to the given limit. */
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

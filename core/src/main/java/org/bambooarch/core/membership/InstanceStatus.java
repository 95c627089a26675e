package org.bambooarch.core.membership;

/**
 * Liveness of another instance.
 *
 * <p>The order of the constants matters: of two reports with the same incarnation, the status that
 * is declared later overrides the earlier one.
 */
public enum InstanceStatus {
  /** It sends heartbeats, to this instance or to another one that reported so. */
  ALIVE,
  /**
   * It has been silent for {@link MembershipSettings#suspectTimeoutNanos}, or is only known from
   * the platform's list.
   */
  SUSPECT,
  /** It announced that it stops, and accepts no new callers. */
  LEAVING,
  /** It has been silent for longer than the timeout after which a suspect counts as dead. */
  DEAD
}

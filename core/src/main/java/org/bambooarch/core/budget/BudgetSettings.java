package org.bambooarch.core.budget;

import java.util.EnumSet;
import java.util.Set;

/**
 * Timing of the budgets.
 *
 * @param leaseNanos how long a confirmation allows an instance to use its shares
 * @param leaseMarginNanos added to the lease by those who wait for its end, for clocks that differ
 *     in speed
 * @param suspectNanos silence after which a member's shares may be reclaimed
 * @param readIntervalNanos time between two reads of the epoch row
 * @param maxWaitNanos longest time that a request waits for tokens from peers
 * @param protections rules in force; all of them outside of tests
 */
public record BudgetSettings(
    long leaseNanos,
    long leaseMarginNanos,
    long suspectNanos,
    long readIntervalNanos,
    long maxWaitNanos,
    Set<Protection> protections) {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** A rule that tests switch off to prove that the invariants depend on it. */
  public enum Protection {
    /** An admission checks the deadline of the instance's shares. */
    DEADLINE_AT_ADMIT,
    /** Received totals are compared with the totals seen before. */
    RUNNING_TOTALS,
    /** A closed ledger accepts nothing more from the dead member. */
    CLOSED_LEDGER,
    /** Reclaimed shares are used only after the lease of the dead member has ended. */
    RECLAIM_WAITS_FOR_LEASE,
    /** Shares are reclaimed only with the reports of all other members. */
    ALL_MEMBERS_REPORT
  }

  /** Returns the settings for instances in several regions. */
  public static BudgetSettings defaults() {
    return new BudgetSettings(
        2_000 * NANOS_PER_MILLI,
        100 * NANOS_PER_MILLI,
        1_500 * NANOS_PER_MILLI,
        800 * NANOS_PER_MILLI,
        400 * NANOS_PER_MILLI,
        EnumSet.allOf(Protection.class));
  }

  /** Returns the same settings without one rule, for tests only. */
  public BudgetSettings without(Protection protection) {
    Set<Protection> rest = EnumSet.copyOf(protections);
    rest.remove(protection);
    return new BudgetSettings(
        leaseNanos, leaseMarginNanos, suspectNanos, readIntervalNanos, maxWaitNanos, rest);
  }

  /** Returns whether a rule is in force. */
  public boolean enforces(Protection protection) {
    return protections.contains(protection);
  }
}

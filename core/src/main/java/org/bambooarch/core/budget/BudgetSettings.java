package org.bambooarch.core.budget;

import java.util.EnumSet;
import java.util.Set;

/**
 * Timing and safety rules of the budgets.
 *
 * @param leaseNanos how long one renewal of the lease allows an instance to use its shares
 * @param leaseMarginNanos time that members add to the lease of another one when they wait for its
 *     end, because clocks differ in speed
 * @param suspectNanos silence after which a member counts as dead, so that its shares may be
 *     reclaimed
 * @param readIntervalNanos time between two reads of the epoch row
 * @param maxWaitNanos longest time that a request waits for tokens from peers
 * @param protections safety rules in force; all of them outside of tests
 */
public record BudgetSettings(
    long leaseNanos,
    long leaseMarginNanos,
    long suspectNanos,
    long readIntervalNanos,
    long maxWaitNanos,
    Set<Protection> protections) {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** A safety rule. Tests switch single rules off to prove that the invariants depend on them. */
  public enum Protection {
    /** Each admission checks that the instance's lease has not expired. */
    DEADLINE_AT_ADMIT,
    /** Received totals are compared with the highest totals seen before. */
    RUNNING_TOTALS,
    /** A closed ledger accepts no more transfers and renewals from the dead member. */
    CLOSED_LEDGER,
    /** Reclaimed shares are used only after the lease of the dead member has expired. */
    RECLAIM_WAITS_FOR_LEASE,
    /**
     * Shares are reclaimed only with the reports of all other members, and only if these leave no
     * majority that could renew the lease of a dead member.
     */
    ALL_MEMBERS_REPORT
  }

  /** Returns the settings for instances that run in several regions. */
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

  /** Returns whether a safety rule is in force; false only in tests. */
  public boolean enforces(Protection protection) {
    return protections.contains(protection);
  }
}

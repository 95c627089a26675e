/**
 * Rate limits (token buckets) that hold over all instances together: customer rates and bursts,
 * link bytes, slots.
 *
 * <p>Each instance holds a share of the rate and burst of every resource and moves parts of it to
 * peers on demand. Moves neither create nor lose shares, so that all shares together never exceed
 * the whole resource. {@link org.bambooarch.core.budget.FleetBudgets} is the entry point.
 */
package org.bambooarch.core.budget;

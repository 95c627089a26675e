/**
 * Budgets that hold over all instances together: customer rates and bursts, link bytes, slots.
 *
 * <p>Each instance holds conserved shares of every resource and moves them to peers on demand;
 * {@link org.bambooarch.core.budget.FleetBudgets} is the entry point.
 */
package org.bambooarch.core.budget;

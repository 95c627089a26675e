/**
 * Seeded simulations of the rate-limit budgets that several instances share, with a fake network, a
 * fake platform table and manual clocks.
 */
package org.bambooarch.bench.budget;

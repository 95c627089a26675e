/**
 * Trials of the budgets of several instances over a fake network, a fake table and manual clocks.
 */
package org.bambooarch.bench.budget;

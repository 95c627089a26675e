/** Stores the share epoch of the fleet's budgets in a row of the platform's table service. */
package org.bambooarch.store.budget;

/** Implementation of the budgets; only {@link org.bambooarch.core.budget} uses it. */
package org.bambooarch.core.budget.internal;

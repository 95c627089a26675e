/** Parts of the budgets that are not meant for other packages. */
package org.bambooarch.core.budget.internal;

/** Byte budgets of the links between regions. */
package org.bambooarch.core.link;

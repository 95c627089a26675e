/** Budgets that keep the bytes sent over the links between regions under the links' caps. */
package org.bambooarch.core.link;

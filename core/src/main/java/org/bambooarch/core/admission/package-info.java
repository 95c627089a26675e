/**
 * Admission queues in front of the targets, with priorities, fairness between customers and
 * deadlines.
 */
package org.bambooarch.core.admission;

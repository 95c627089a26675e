/** Short queues in front of the targets: rank, fairness between customers, and deadlines. */
package org.bambooarch.core.admission;

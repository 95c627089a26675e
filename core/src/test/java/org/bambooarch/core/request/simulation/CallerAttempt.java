package org.bambooarch.core.request.simulation;

/**
 * One attempt of a caller to get a response to its request.
 *
 * @param deadlineNanos monotonic time after which the caller no longer waits
 */
record CallerAttempt(long number, SimulatedRequest request, String key, long deadlineNanos) {}

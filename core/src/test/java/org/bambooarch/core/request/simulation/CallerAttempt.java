package org.bambooarch.core.request.simulation;

/** One send of a request by its caller. */
record CallerAttempt(long number, SimulatedRequest request, String key, long deadlineNanos) {}

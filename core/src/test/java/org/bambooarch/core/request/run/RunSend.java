package org.bambooarch.core.request.run;

/** One send of a request by its caller. */
record RunSend(long number, RunRequest request, String key, long deadlineNanos) {}

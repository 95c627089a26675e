package org.bambooarch.core.request;

import java.util.Optional;
import org.bambooarch.core.request.crash.CrashFingerprint;

/**
 * The properties of a request that decide whether and where it is sent.
 *
 * @param idempotent whether the route allows its requests to run more than once
 * @param fingerprint key of the request in the {@code CrashTable}; empty if the body is streamed
 * @param deadlineNanos monotonic time after which the caller no longer waits
 */
public record RequestProperties(
    boolean idempotent, Optional<CrashFingerprint> fingerprint, long deadlineNanos) {}

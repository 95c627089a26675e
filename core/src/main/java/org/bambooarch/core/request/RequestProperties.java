package org.bambooarch.core.request;

import java.util.Optional;
import org.bambooarch.core.request.crash.CrashFingerprint;

/**
 * What the decisions about a request depend on.
 *
 * @param idempotent whether the route's requests may run more than once
 * @param fingerprint what the request asks, for deaths of targets; empty if the body is streamed
 * @param deadlineNanos monotonic moment after which the caller no longer waits
 */
public record RequestProperties(
    boolean idempotent, Optional<CrashFingerprint> fingerprint, long deadlineNanos) {}

package org.bambooarch.core.routing.internal;

/**
 * An immutable snapshot of the target state for the request threads, indexed by server, by service,
 * or by service and pool.
 *
 * <p>The arrays are not written after the view is published.
 *
 * @param limit number of requests that this instance may have in flight at a server; 0 means that
 *     the server is not available
 * @param latencyNanos expected time of one request at an idle server, network round trip included
 * @param poolLimit number of requests that this instance may have in flight in a pool
 * @param spilloverActive whether requests to a service may use servers in other regions
 */
@SuppressWarnings("ArrayRecordComponent")
public record TargetView(
    int[] limit, long[] latencyNanos, int[][] poolLimit, boolean[] spilloverActive) {}

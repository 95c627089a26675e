package org.bambooarch.core.routing.internal;

/**
 * What traffic threads read: one row for each server, and one for each service and pool.
 *
 * <p>The arrays are never written after the view is published.
 *
 * @param limit requests that this instance may have in flight at a server; 0 means not in use
 * @param latencyNanos expected time of one request at an idle server, the way there included
 * @param poolLimit requests that this instance may have in flight in a pool
 * @param spilloverActive whether a service may use other regions
 */
@SuppressWarnings("ArrayRecordComponent")
public record TargetView(
    int[] limit, long[] latencyNanos, int[][] poolLimit, boolean[] spilloverActive) {}

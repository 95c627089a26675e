package org.bambooarch.soak;

/**
 * A request on a route with homes, as a client sent it to an instance that a look-up had named.
 *
 * @param instance name of the instance
 * @param instanceRegion region of the instance
 * @param lookup the look-up whose answer named the instance
 * @param sentNanos steady clock when the request had been sent
 */
record HomedRequest(
    String route,
    String clientRegion,
    String instance,
    String instanceRegion,
    Lookup lookup,
    long sentNanos) {}

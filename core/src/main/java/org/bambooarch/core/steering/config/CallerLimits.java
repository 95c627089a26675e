package org.bambooarch.core.steering.config;

/**
 * Limits on the size of a caller's requests and on the time that it may take to send them.
 *
 * @param maxHeaderBytes largest size of all headers of a request together, in bytes
 * @param maxBodyBytes largest size of a request's body, in bytes
 * @param headerTimeoutMillis longest time for the headers of a request to arrive, in milliseconds
 * @param idleTimeoutMillis longest time between two requests on a connection, in milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}

package org.bambooarch.core.admission;

/**
 * A request in a queue.
 *
 * @param request the request, opaque to the queue
 * @param customer row of the customer
 * @param priority priority when it was queued
 * @param queuedAtNanos monotonic moment at which it was queued
 * @param expiresAtNanos monotonic moment after which it is given back unrun
 * @param startTag position in the fair order of its rank
 * @param sequence order of arrival, which decides between equal positions
 */
public record QueuedRequest<T>(
    T request,
    int customer,
    DispatchPriority priority,
    long queuedAtNanos,
    long expiresAtNanos,
    double startTag,
    long sequence) {}

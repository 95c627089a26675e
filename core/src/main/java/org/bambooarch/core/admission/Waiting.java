package org.bambooarch.core.admission;

/**
 * A request in a queue.
 *
 * @param request the request, opaque to the queue
 * @param customer row of the customer
 * @param rank rank when it was queued
 * @param queuedNanos monotonic moment at which it was queued
 * @param giveUpNanos monotonic moment after which it is given back unrun
 * @param startTag position in the fair order of its rank
 * @param sequence order of arrival, which decides between equal positions
 */
public record Waiting<T>(
    T request,
    int customer,
    Rank rank,
    long queuedNanos,
    long giveUpNanos,
    double startTag,
    long sequence) {}

package org.bambooarch.core.admission;

/**
 * A request that waits in an {@link AdmissionQueue}.
 *
 * @param request the request, which the queue only compares with {@code equals}
 * @param customer index of the customer
 * @param priority priority at the time of queueing
 * @param queuedAtNanos monotonic time at which the request was queued
 * @param expiresAtNanos monotonic time from which the request is returned as expired, without
 *     having been dispatched
 * @param startTag virtual start time in the fair order of its priority; 0 without fairness
 * @param sequence order of arrival, which decides between equal start tags
 */
public record QueuedRequest<T>(
    T request,
    int customer,
    DispatchPriority priority,
    long queuedAtNanos,
    long expiresAtNanos,
    double startTag,
    long sequence) {}

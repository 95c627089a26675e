package org.bambooarch.core.config;

/**
 * A read of the table that the caller must start.
 *
 * @param sentNanos monotonic time before the read is sent; its result confirms the head as of then
 * @param afterVersion applied version; the result contains the changes after it
 */
public record StoreRead(long sentNanos, long afterVersion) {}

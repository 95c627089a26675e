package org.bambooarch.core.config;

/**
 * A read of the table that the caller is asked to start.
 *
 * @param sentNanos monotonic moment before the read leaves; its answer proves the head since then
 * @param afterVersion version in force; the answer carries the changes after it
 */
public record StoreRead(long sentNanos, long afterVersion) {}

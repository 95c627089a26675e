package org.bambooarch.core.steering.fleet;

/**
 * An instance that is stopping and still accepts requests.
 *
 * @param identity the instance
 * @param acceptUntilNanos monotonic time until which it accepts requests, in nanoseconds
 */
public record StoppingInstance(InstanceIdentity identity, long acceptUntilNanos) {}

package org.bambooarch.core.steering.fleet;

/**
 * A caller's question which instances to use for a host.
 *
 * @param host host of the requests that the caller is going to send; empty if not stated
 * @param region the caller's region; empty if not stated
 * @param dataCentre the caller's data centre; empty if not stated
 */
public record DirectoryLookup(String host, String region, String dataCentre) {}

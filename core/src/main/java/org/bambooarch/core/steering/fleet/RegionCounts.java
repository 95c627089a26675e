package org.bambooarch.core.steering.fleet;

/**
 * How many other instances of one region an instance knows.
 *
 * @param known instances that the platform lists, or that were heard in the last minute
 * @param unheard known instances of which no heartbeat has come since this instance started
 * @param live instances whose heartbeats arrive
 * @param takingCallers live instances that take callers
 * @param partitioned live instances that take callers and are partitioned from all servers
 */
public record RegionCounts(int known, int unheard, int live, int takingCallers, int partitioned) {}

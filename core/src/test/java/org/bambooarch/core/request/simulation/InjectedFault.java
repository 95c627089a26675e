package org.bambooarch.core.request.simulation;

/**
 * The faults that a simulation can schedule, in addition to the lost, late and misdirected
 * responses that occur in every simulation.
 */
enum InjectedFault {
  STORE_DOWN,
  INSTANCE_PAUSED,
  INSTANCE_RESTARTS,
  TARGET_CRASHES,
  PEERS_PARTITIONED
}

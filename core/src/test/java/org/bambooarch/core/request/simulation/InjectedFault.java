package org.bambooarch.core.request.simulation;

/** The faults that a run schedules besides the lost, late and crossed answers of every run. */
enum InjectedFault {
  STORE_DOWN,
  INSTANCE_PAUSED,
  INSTANCE_RESTARTS,
  TARGET_CRASHES,
  PEERS_PARTITIONED
}

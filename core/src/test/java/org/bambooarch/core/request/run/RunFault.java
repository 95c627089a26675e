package org.bambooarch.core.request.run;

/** The faults that a run schedules besides the lost, late and crossed answers of every run. */
enum RunFault {
  STORE_DOWN,
  INSTANCE_PAUSED,
  INSTANCE_DIES,
  TARGET_DIES,
  PEERS_CUT_OFF
}

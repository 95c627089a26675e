package org.bambooarch.soak;

/** What a server does wrong, or in an unusual way, while it answers one request. */
enum Fault {
  NONE(0, Second.NONE),
  SECOND_AT_ONCE(0.05, Second.SAME_STATUS),
  SECOND_AT_ONCE_OTHER_STATUS(0.05, Second.OTHER_STATUS),
  SECOND_BEFORE_NEXT(0.08, Second.SAME_STATUS),
  SECOND_BEFORE_NEXT_OTHER_STATUS(0.08, Second.OTHER_STATUS),
  SECOND_LATER(0.05, Second.SAME_STATUS),
  SECOND_LATER_OTHER_STATUS(0.05, Second.OTHER_STATUS),
  WITHOUT_LENGTH(0.02, Second.NONE),
  WITHOUT_LENGTH_CUT_BY_FIN(0.003, Second.NONE),
  WITHOUT_LENGTH_RESET(0.01, Second.NONE),
  TRUNCATED(0.005, Second.NONE),
  GARBAGE(0.005, Second.NONE),
  EARLY(0.02, Second.NONE),
  LOST_WITH_RESET(0.005, Second.NONE),
  HEAD_IN_PARTS(0.03, Second.NONE),
  AFTER_INFORMATIONAL(0.02, Second.NONE),
  CONNECTION_CLOSE(0.01, Second.NONE);

  /** Which second answer follows the first one. */
  enum Second {
    NONE,
    SAME_STATUS,
    OTHER_STATUS
  }

  private final double share;
  private final Second second;

  Fault(double share, Second second) {
    this.share = share;
    this.second = second;
  }

  /** Returns the share of answers while the fault is on, between 0 and 1. */
  double share() {
    return share;
  }

  Second second() {
    return second;
  }
}

package org.bambooarch.core.request.run;

/** The protections that a run can switch off, to show that it goes red without them. */
enum Protection {
  ORDER_RECORD,
  READ_BACK,
  DISPATCH_DEADLINE,
  NO_RETRY_OF_ORDERS,
  OUTCOME_TYPES,
  ANSWER_CHECK,
  HEADER_RULES,
  KEY_FRESHNESS,
  CRASH_EVIDENCE
}

package org.bambooarch.core.request.simulation;

/** The protections that a run can switch off, to show that it goes red without them. */
enum Safeguard {
  IDEMPOTENCY_RECORD,
  READ_AFTER_INDETERMINATE_WRITE,
  DISPATCH_DEADLINE,
  NO_RETRY_OF_NON_IDEMPOTENT,
  UNKNOWN_AFTER_CONNECTION_LOSS,
  RESPONSE_CHECK,
  HEADER_RULES,
  KEY_STALENESS_BOUND,
  CRASH_EVIDENCE
}

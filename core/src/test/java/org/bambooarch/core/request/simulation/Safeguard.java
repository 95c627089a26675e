package org.bambooarch.core.request.simulation;

/** The safeguards that a simulation can disable, to show that invariants fail without each one. */
enum Safeguard {
  /** A non-idempotent request is recorded before its dispatch. */
  IDEMPOTENCY_RECORD,
  /** After an indeterminate write the record is read, instead of taking the write as committed. */
  READ_AFTER_INDETERMINATE_WRITE,
  /** The dispatch permit is checked right before a recorded request is sent. */
  DISPATCH_DEADLINE,
  /** A non-idempotent request is not retried once a target may have run it. */
  NO_RETRY_OF_NON_IDEMPOTENT,
  /** A request whose connection was lost counts as possibly run, not as not sent. */
  UNKNOWN_AFTER_CONNECTION_LOSS,
  /** The request id and the length of each response are checked. */
  RESPONSE_CHECK,
  /** Headers that carry the API key are removed from requests to targets. */
  HEADER_RULES,
  /** No key is accepted once the configuration is older than the staleness bound. */
  KEY_STALENESS_BOUND,
  /** Crashes of targets are reported to the other instances. */
  CRASH_EVIDENCE
}

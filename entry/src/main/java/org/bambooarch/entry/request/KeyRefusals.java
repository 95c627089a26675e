package org.bambooarch.entry.request;

import org.bambooarch.core.key.KeyCheckResult;
import org.bambooarch.core.request.NotRun;

/** Creates the refusals that concern keys. */
final class KeyRefusals {

  private static final long STALE_RETRY_AFTER_MILLIS = 1_000;

  private KeyRefusals() {}

  static NotRun of(KeyCheckResult result) {
    return result instanceof KeyCheckResult.Stale() ? stale() : rejected();
  }

  static NotRun rejected() {
    return NotRun.of(
        NotRun.Reason.KEY_REJECTED,
        "expected one valid key in Authorization (Bearer) or X-Api-Key, got none, several, or one"
            + " that is not valid");
  }

  private static NotRun stale() {
    return NotRun.of(
            NotRun.Reason.KEYS_STALE,
            "this instance cannot confirm that the key was not withdrawn; use another instance")
        .withRetryAfterMillis(STALE_RETRY_AFTER_MILLIS);
  }
}

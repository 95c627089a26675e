package org.bambooarch.entry.request;

import org.bambooarch.core.request.NotRun;

/**
 * Creates the refusals of requests that the configuration in force does not permit. Callers take
 * most of them as final, so unless the configuration is known to be the newest, they are told to
 * use another instance instead.
 */
final class ConfigurationRefusals {

  private static final long STALE_RETRY_AFTER_MILLIS = 1_000;

  private ConfigurationRefusals() {}

  static NotRun noRoute(boolean isNewest) {
    return isNewest
        ? NotRun.of(NotRun.Reason.NO_ROUTE, "no route matches this method and path")
        : stale();
  }

  static NotRun keyRejected(boolean isNewest) {
    return isNewest ? KeyRefusals.rejected() : stale();
  }

  static NotRun customerUnknown(NotRun refusal, boolean isNewest) {
    return isNewest ? refusal : stale();
  }

  private static NotRun stale() {
    return NotRun.of(
            NotRun.Reason.CONFIGURATION_STALE,
            "this instance cannot confirm that its configuration, which does not permit the"
                + " request, is the newest; use another instance")
        .withRetryAfterMillis(STALE_RETRY_AFTER_MILLIS);
  }
}

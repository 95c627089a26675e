package org.bambooarch.gateway.spi;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the headers of a caller's request say to the system.
 *
 * @param requestId id of this attempt of the caller; empty if missing
 * @param timeoutMillis how long the caller will wait, in milliseconds, if it said so
 * @param apiKey the caller's key, which is never logged or sent on
 * @param object the object that the request concerns
 */
public record ClientRequestHeaders(
    String requestId,
    OptionalLong timeoutMillis,
    Optional<String> apiKey,
    Optional<String> object) {

  @Override
  public String toString() {
    return "CallerHeaders[requestId=" + requestId + "]";
  }
}

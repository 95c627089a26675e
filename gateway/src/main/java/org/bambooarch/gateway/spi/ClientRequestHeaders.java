package org.bambooarch.gateway.spi;

import java.util.Optional;
import java.util.OptionalLong;
import org.bambooarch.core.steering.config.ServiceRoute;

/**
 * Control information from the headers of a client's request.
 *
 * @param requestId id that the client gave to this attempt; empty if missing
 * @param timeoutMillis how long the client waits for the response, in milliseconds, if stated
 * @param apiKey the client's API key, which must never be logged or forwarded
 * @param object id of the object that the request concerns, if stated; requests for one object go
 *     to the same servers where possible
 */
public record ClientRequestHeaders(
    String requestId,
    OptionalLong timeoutMillis,
    Optional<String> apiKey,
    Optional<String> object) {

  /** Returns how long the client waits for a response on a route, in milliseconds. */
  public long timeoutMillisOn(ServiceRoute route) {
    return Math.min(route.timeoutMillis(), timeoutMillis.orElse(route.timeoutMillis()));
  }

  @Override
  public String toString() {
    return "ClientRequestHeaders[requestId=" + requestId + "]";
  }
}

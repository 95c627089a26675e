package org.bambooarch.core.request.crash;

import org.bambooarch.core.request.idempotency.RequestDigest;

/**
 * Identifies what a request asks of a service, whoever sends it.
 *
 * <p>Neither the customer nor any header takes part: a caller that resends a crashing request may
 * change both.
 *
 * @param hex SHA-256 in lower-case hexadecimal
 */
public record CrashFingerprint(String hex) {

  /** Returns the fingerprint of a request to a service. */
  public static CrashFingerprint of(
      String service, String method, String pathAndQuery, byte[] body) {
    return new CrashFingerprint(RequestDigest.of(service + " " + method, pathAndQuery, body).hex());
  }
}

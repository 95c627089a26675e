package org.bambooarch.core.request.crash;

import org.bambooarch.core.request.idempotency.RequestDigest;

/**
 * Identifies requests with the same service, method, path, query and body, whoever sends them.
 *
 * <p>The customer and the headers are left out, because a caller that retries a crashing request
 * may change both.
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

package org.bambooarch.core.request.idempotency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A SHA-256 digest of the method, path, query and body of a request.
 *
 * <p>Headers are left out, because a retry by the caller may carry other ones. Each part is
 * preceded by its length, so that two different requests never yield the same hash input.
 *
 * @param hex the digest in lower-case hexadecimal
 */
public record RequestDigest(String hex) {

  /**
   * Returns the digest of a request.
   *
   * @param pathAndQuery path, with the query if there is one
   */
  public static RequestDigest of(String method, String pathAndQuery, byte[] body) {
    MessageDigest sha256 = sha256();
    update(sha256, method.getBytes(StandardCharsets.UTF_8));
    update(sha256, pathAndQuery.getBytes(StandardCharsets.UTF_8));
    update(sha256, body);
    return new RequestDigest(HexFormat.of().formatHex(sha256.digest()));
  }

  private static void update(MessageDigest digest, byte[] part) {
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
    digest.update(part);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is missing, but every Java platform must provide it", e);
    }
  }
}

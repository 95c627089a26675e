package org.bambooarch.peer.internal;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;

/**
 * Adds and checks the authentication codes (MAC) of the frames in one direction of a session.
 *
 * <p>The code covers the payload and the sequence number of the frame in the session, so that a
 * frame that was changed, repeated, dropped or reordered is detected and ends the session. Each
 * side has an instance for each direction and uses it only to seal or only to open. Not
 * thread-safe.
 */
public final class FrameAuthenticator {

  /** Length of the authentication code in bytes: HMAC-SHA256 truncated to half its length. */
  public static final int MAC_BYTES = 16;

  private final Mac mac;
  private long nextSequence;

  /**
   * Creates an authenticator with the key of its direction, and overwrites the array with zeros.
   */
  public FrameAuthenticator(byte[] key) {
    this.mac = Handshake.newMac(key);
  }

  /** Returns the next frame to send: the authentication code followed by the payload. */
  public byte[] seal(byte[] payload) {
    byte[] code = computeMac(payload, 0, payload.length);
    nextSequence++;
    return ByteBuffer.allocate(MAC_BYTES + payload.length).put(code).put(payload).array();
  }

  /**
   * Returns the payload of the next received frame.
   *
   * @throws FrameException if the frame is too short or its authentication code is wrong
   */
  public byte[] open(byte[] frame) throws FrameException {
    if (frame.length < MAC_BYTES) {
      throw FrameException.tooShort(frame.length, MAC_BYTES);
    }
    byte[] expected = computeMac(frame, MAC_BYTES, frame.length - MAC_BYTES);
    byte[] actual = Arrays.copyOf(frame, MAC_BYTES);
    if (!MessageDigest.isEqual(expected, actual)) {
      throw FrameException.wrongMac(nextSequence);
    }
    nextSequence++;
    return Arrays.copyOfRange(frame, MAC_BYTES, frame.length);
  }

  private byte[] computeMac(byte[] bytes, int offset, int length) {
    mac.update(ByteBuffer.allocate(Long.BYTES).putLong(0, nextSequence));
    mac.update(bytes, offset, length);
    return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
  }
}

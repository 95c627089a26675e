package org.bambooarch.peer.internal;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;

/**
 * Authenticates the frames of one direction of a session.
 *
 * <p>The mac covers the frame's place in the session, so that a frame can be neither changed nor
 * repeated, dropped or moved without ending the session. Not safe for several threads.
 */
public final class FrameAuthenticator {

  /** Length of the authentication mac in bytes, HMAC-SHA256 truncated to half. */
  public static final int MAC_BYTES = 16;

  private final Mac mac;
  private long nextSequence;

  /** Creates the seal with the key of its direction. */
  public FrameAuthenticator(byte[] key) {
    this.mac = Handshake.newMac(key);
  }

  /** Returns the MAC and the payload of the next frame. */
  public byte[] seal(byte[] payload) {
    byte[] mac = computeMac(payload, 0, payload.length);
    nextSequence++;
    return ByteBuffer.allocate(MAC_BYTES + payload.length).put(mac).put(payload).array();
  }

  /** Returns the payload of the next frame after checking its mac. */
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

package org.bambooarch.peer.internal;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;

/**
 * Authenticates the frames of one direction of a session.
 *
 * <p>The code covers the frame's place in the session, so that a frame can be neither changed nor
 * repeated, dropped or moved without ending the session. Not safe for several threads.
 */
public final class FrameSeal {

  /** Length of the authentication code in bytes, HMAC-SHA256 truncated to half. */
  public static final int CODE_BYTES = 16;

  private final Mac mac;
  private long nextSequence;

  /** Creates the seal with the key of its direction. */
  public FrameSeal(byte[] key) {
    this.mac = Handshake.newMac(key);
  }

  /** Returns the code and the payload of the next frame. */
  public byte[] seal(byte[] payload) {
    byte[] code = code(payload, 0, payload.length);
    nextSequence++;
    return ByteBuffer.allocate(CODE_BYTES + payload.length).put(code).put(payload).array();
  }

  /** Returns the payload of the next frame after checking its code. */
  public byte[] open(byte[] frame) throws FrameException {
    if (frame.length < CODE_BYTES) {
      throw FrameException.tooShort(frame.length, CODE_BYTES);
    }
    byte[] expected = code(frame, CODE_BYTES, frame.length - CODE_BYTES);
    byte[] actual = Arrays.copyOf(frame, CODE_BYTES);
    if (!MessageDigest.isEqual(expected, actual)) {
      throw FrameException.wrongCode(nextSequence);
    }
    nextSequence++;
    return Arrays.copyOfRange(frame, CODE_BYTES, frame.length);
  }

  private byte[] code(byte[] bytes, int offset, int length) {
    mac.update(ByteBuffer.allocate(Long.BYTES).putLong(0, nextSequence));
    mac.update(bytes, offset, length);
    return Arrays.copyOf(mac.doFinal(), CODE_BYTES);
  }
}

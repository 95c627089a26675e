package org.bambooarch.peer.internal;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.bambooarch.peer.Secret;
import org.bambooarch.peer.generated.PeerProtocol.Hello;

/**
 * The mutual challenge-response authentication of two instances.
 *
 * <p>Each side sends a fresh nonce in its hello, and proves that it knows the shared secret by an
 * HMAC-SHA256 over a label of its role and both hellos. The nonces keep a proof from being
 * replayed, the labels from being reflected to the side that made it. The session keys are derived
 * from the same transcript under labels of their own.
 */
public final class Handshake {

  /** Oldest protocol version that this build supports. */
  public static final int MIN_VERSION = 1;

  /** Newest protocol version that this build supports. */
  public static final int MAX_VERSION = 1;

  /** Length of a nonce in bytes. */
  public static final int NONCE_BYTES = 32;

  private static final String ALGORITHM = "HmacSHA256";
  private static final int SECRET_ID_BYTES = 8;

  private Handshake() {}

  /**
   * Use of an HMAC over the transcript.
   *
   * <p>The name of the constant is part of the transcript, so it must be the same on both sides.
   */
  public enum Label {
    /** Proof of the side that opened the connection. */
    OPENER_PROOF,
    /** Proof of the side that accepted it. */
    ACCEPTOR_PROOF,
    /** Key for the frames that the side that opened the connection sends. */
    OPENER_FRAMES,
    /** Key for the frames that the side that accepted it sends. */
    ACCEPTOR_FRAMES
  }

  /** Returns an identifier of a secret from which the secret cannot be computed. */
  public static ByteString secretId(Secret secret) {
    byte[] id = hmac(secret.bytes(), "bambooarch peer secret".getBytes(StandardCharsets.UTF_8));
    return ByteString.copyFrom(id, 0, SECRET_ID_BYTES);
  }

  /**
   * Returns the secret that the opening side uses, by the identifier in its hello.
   *
   * @throws HandshakeException if it is none of the given secrets
   */
  public static Secret findSecret(List<Secret> secrets, Hello opener) throws HandshakeException {
    for (Secret secret : secrets) {
      if (secretId(secret).equals(opener.getSecretId())) {
        return secret;
      }
    }
    throw HandshakeException.unknownSecret(opener.getInstance());
  }

  /**
   * Checks the hello of the other side.
   *
   * @throws HandshakeException if the sides have no common protocol version or the nonce is not
   *     {@link #NONCE_BYTES} long
   */
  public static void checkHello(Hello remote) throws HandshakeException {
    if (remote.getMaxVersion() < MIN_VERSION || remote.getMinVersion() > MAX_VERSION) {
      throw HandshakeException.noCommonVersion(
          MIN_VERSION, MAX_VERSION, remote.getMinVersion(), remote.getMaxVersion());
    }
    if (remote.getNonce().size() != NONCE_BYTES) {
      throw HandshakeException.malformed("a nonce of " + remote.getNonce().size() + " bytes");
    }
  }

  /** Returns the HMAC, keyed with the secret, of a label and both hellos without their proofs. */
  public static byte[] derive(Secret secret, Label label, Hello opener, Hello acceptor) {
    return hmac(secret.bytes(), transcript(label, opener, acceptor));
  }

  /**
   * Compares a proof with the expected one, in constant time.
   *
   * @param instance name that the other side claims, for the error
   * @throws HandshakeException if they differ
   */
  public static void checkProof(byte[] expected, ByteString actual, String instance)
      throws HandshakeException {
    if (!MessageDigest.isEqual(expected, actual.toByteArray())) {
      throw HandshakeException.wrongProof(instance);
    }
  }

  private static byte[] transcript(Label label, Hello opener, Hello acceptor) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeUTF(label.name());
      writeHello(out, opener);
      writeHello(out, acceptor);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write the handshake transcript to memory", e);
    }
    return bytes.toByteArray();
  }

  private static void writeHello(DataOutputStream out, Hello hello) throws IOException {
    out.writeInt(hello.getMinVersion());
    out.writeInt(hello.getMaxVersion());
    out.writeUTF(hello.getInstance());
    out.writeUTF(hello.getExpectedInstance());
    writeBytes(out, hello.getNonce());
    writeBytes(out, hello.getSecretId());
  }

  private static void writeBytes(DataOutputStream out, ByteString bytes) throws IOException {
    out.writeInt(bytes.size());
    bytes.writeTo(out);
  }

  private static byte[] hmac(byte[] key, byte[] content) {
    return newMac(key).doFinal(content);
  }

  /** Returns an HMAC-SHA256 with the given key, and overwrites the array with zeros. */
  static Mac newMac(byte[] key) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(
          "cannot create a MAC; every Java platform must provide " + ALGORITHM, e);
    } finally {
      Arrays.fill(key, (byte) 0);
    }
  }
}

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
 * The rules of the mutual challenge and response between two instances.
 *
 * <p>Each side sends a fresh nonce; each side proves the shared secret by an HMAC-SHA256 over both
 * hellos under a label of its role, so that a proof can be neither replayed nor reflected. The keys
 * of the session are derived from the same transcript.
 */
public final class Handshake {

  /** Oldest protocol version that this build speaks. */
  public static final int MIN_VERSION = 1;

  /** Newest protocol version that this build speaks. */
  public static final int MAX_VERSION = 1;

  /** Length of a nonce in bytes. */
  public static final int NONCE_BYTES = 32;

  private static final String ALGORITHM = "HmacSHA256";
  private static final int SECRET_ID_BYTES = 8;

  private Handshake() {}

  /** What a HMAC over the transcript is used for. */
  public enum Label {
    /** Proof of the side that opened the connection. */
    OPENER_PROOF,
    /** Proof of the side that accepted it. */
    ACCEPTOR_PROOF,
    /** Key for frames of the side that opened the connection. */
    OPENER_FRAMES,
    /** Key for frames of the side that accepted it. */
    ACCEPTOR_FRAMES
  }

  /** Returns a name of a secret that does not reveal it. */
  public static ByteString secretId(Secret secret) {
    byte[] id = hmac(secret.bytes(), "bambooarch peer secret".getBytes(StandardCharsets.UTF_8));
    return ByteString.copyFrom(id, 0, SECRET_ID_BYTES);
  }

  /** Returns the secret that the opening side uses. */
  public static Secret findSecret(List<Secret> secrets, Hello opener) throws HandshakeException {
    for (Secret secret : secrets) {
      if (secretId(secret).equals(opener.getSecretId())) {
        return secret;
      }
    }
    throw HandshakeException.unknownSecret(opener.getInstance());
  }

  /** Checks that both sides speak a common version and that the nonce is whole. */
  public static void checkHello(Hello remote) throws HandshakeException {
    if (remote.getMaxVersion() < MIN_VERSION || remote.getMinVersion() > MAX_VERSION) {
      throw HandshakeException.noCommonVersion(
          MIN_VERSION, MAX_VERSION, remote.getMinVersion(), remote.getMaxVersion());
    }
    if (remote.getNonce().size() != NONCE_BYTES) {
      throw HandshakeException.malformed("a nonce of " + remote.getNonce().size() + " bytes");
    }
  }

  /** Returns the HMAC of the transcript under a label. */
  public static byte[] derive(Secret secret, Label label, Hello opener, Hello acceptor) {
    return hmac(secret.bytes(), transcript(label, opener, acceptor));
  }

  /** Checks a proof in constant time. */
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
      throw new UncheckedIOException("writing to memory failed", e);
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

  static Mac newMac(byte[] key) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
      return mac;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform provides " + ALGORITHM, e);
    } finally {
      Arrays.fill(key, (byte) 0);
    }
  }
}

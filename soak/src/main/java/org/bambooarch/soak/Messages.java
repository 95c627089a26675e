package org.bambooarch.soak;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Random;
import java.util.zip.CRC32;

/** Bodies, hashes and heads of both sides. */
final class Messages {

  private Messages() {}

  static String hash(byte[] body) {
    CRC32 crc = new CRC32();
    crc.update(body);
    return HexFormat.of().toHexDigits((int) crc.getValue());
  }

  /** Returns printable bytes that differ from body to body. */
  static byte[] randomBody(int lengthBytes, Random random) {
    byte[] body = new byte[lengthBytes];
    for (int i = 0; i < lengthBytes; i++) {
      body[i] = (byte) ('a' + random.nextInt(26));
    }
    return body;
  }

  static byte[] join(byte[] first, byte[] second) {
    byte[] joined = new byte[first.length + second.length];
    System.arraycopy(first, 0, joined, 0, first.length);
    System.arraycopy(second, 0, joined, first.length, second.length);
    return joined;
  }

  /** Returns the first segment of the path of a request line, which names the route. */
  static String firstSegment(String requestLine) {
    String[] segments = requestLine.split("[/ ?]", 4);
    return segments.length < 3 ? "" : segments[2];
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}

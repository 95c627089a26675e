package org.bambooarch.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.ProtocolException;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from one connection. */
final class MessageReader {

  /** Longest line of a head, in bytes. */
  private static final int MAX_LINE_BYTES = 16_384;

  /** Start line and headers of a message. */
  record Head(String startLine, Map<String, String> headers) {

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    boolean isChunked() {
      return header("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked");
    }

    /** Returns the length of the body in bytes, or -1 if the head does not state it. */
    int lengthBytes() {
      String length = header("Content-Length");
      return length.isEmpty() ? -1 : Integer.parseInt(length);
    }

    /** Returns the status code of a response. */
    int status() throws ProtocolException {
      if (!startLine.matches("HTTP/1\\.1 \\d{3}( .*)?")) {
        throw new ProtocolException("malformed status line: " + startLine);
      }
      return Integer.parseInt(startLine.substring(9, 12));
    }
  }

  private final InputStream in;

  MessageReader(InputStream in) {
    this.in = new BufferedInputStream(in, 8_192);
  }

  /** Returns whether bytes have arrived that were not read. */
  boolean hasUnreadBytes() throws IOException {
    return in.available() > 0;
  }

  /** Reads a head; returns null if the connection ended before its first byte. */
  Head readHead() throws IOException {
    String startLine = readLine();
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    String line = requireLine();
    while (!line.isEmpty()) {
      int colon = line.indexOf(':');
      if (colon <= 0) {
        throw new ProtocolException("malformed header: " + line);
      }
      headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
      line = requireLine();
    }
    return new Head(startLine, headers);
  }

  /**
   * Reads the body that belongs to a head into a buffer, which holds the bytes read if this fails.
   *
   * @param toEnd whether a body without a length extends to the end of the connection
   */
  void readBody(Head head, boolean toEnd, ByteArrayOutputStream body) throws IOException {
    if (head.isChunked()) {
      int length;
      do {
        length = Integer.parseInt(requireLine().strip(), 16);
        readExactly(length, body);
        requireLine();
      } while (length > 0);
    } else if (head.lengthBytes() >= 0) {
      readExactly(head.lengthBytes(), body);
    } else if (toEnd) {
      in.transferTo(body);
    }
  }

  private void readExactly(int length, ByteArrayOutputStream body) throws IOException {
    byte[] bytes = in.readNBytes(length);
    body.write(bytes);
    if (bytes.length < length) {
      throw new EOFException("cut after " + bytes.length + " of " + length + " bytes");
    }
  }

  private String requireLine() throws IOException {
    String line = readLine();
    if (line == null) {
      throw new EOFException("cut within a message");
    }
    return line;
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    while (line.length() < MAX_LINE_BYTES) {
      int next = in.read();
      if (next < 0) {
        if (line.isEmpty()) {
          return null;
        }
        throw new EOFException("cut within a line");
      }
      if (next == '\n') {
        return line.toString().stripTrailing();
      }
      line.append((char) next);
    }
    throw new ProtocolException("malformed: line too long");
  }
}

package org.bambooarch.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.bambooarch.platform.fake.WireNames;

/** A client's connection to an instance: sends requests and reads answers in their order. */
final class CallerConnection implements AutoCloseable {

  /** Longest time that a client waits for a connection, in milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** A request as it was sent. */
  record Sent(String requestId, int attempt, boolean repeatable, int order, long sentNanos) {}

  private final String instance;
  private final long number;
  private final Socket socket = new Socket();
  private final MessageReader reader;
  private int order;
  private boolean closing;
  private ClientAnswer lastAnswer;

  CallerConnection(String instance, InetSocketAddress address, long number) throws IOException {
    this.instance = instance;
    this.number = number;
    try {
      socket.setTcpNoDelay(true);
      socket.connect(address, CONNECT_TIMEOUT_MILLIS);
      reader = new MessageReader(socket.getInputStream());
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Returns whether the connection may carry another request. */
  boolean isOpen() {
    return !closing;
  }

  /** Returns the last answer if bytes have arrived after it, or null. */
  ClientAnswer unaskedAfter() throws IOException {
    return lastAnswer != null && !closing && reader.hasUnreadBytes() ? lastAnswer : null;
  }

  Sent send(String requestId, int attempt, boolean repeatable, byte[] request) throws IOException {
    order++;
    long nowNanos = System.nanoTime();
    socket.getOutputStream().write(request);
    socket.getOutputStream().flush();
    return new Sent(requestId, attempt, repeatable, order, nowNanos);
  }

  /**
   * Reads the next answer.
   *
   * @param timeoutMillis longest wait for its first and for each further bytes
   */
  ClientAnswer read(Sent sent, int timeoutMillis) {
    int status = 0;
    String problem = "";
    MessageReader.Head head = null;
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      socket.setSoTimeout(timeoutMillis);
      do {
        head = reader.readHead();
        status = head == null ? 0 : head.status();
      } while (status / 100 == 1);
      if (head == null) {
        problem = "closed without an answer";
      } else {
        boolean toEnd = !head.isChunked() && head.lengthBytes() < 0;
        closing = toEnd || head.header("Connection").equalsIgnoreCase("close");
        reader.readBody(head, true, body);
      }
    } catch (IOException e) {
      problem = e.getMessage() == null ? e.toString() : e.getMessage();
    }
    closing |= !problem.isEmpty();
    byte[] bytes = body.toByteArray();
    lastAnswer =
        new ClientAnswer(
            sent.requestId(),
            sent.attempt(),
            instance,
            number,
            sent.order(),
            sent.repeatable(),
            status,
            head == null ? "" : head.header("Request-Id"),
            head == null ? "" : head.header(WireNames.SERVER_MARK),
            bytes.length,
            Messages.hash(bytes),
            problem.isEmpty(),
            problem,
            sent.sentNanos(),
            System.nanoTime());
    return lastAnswer;
  }

  /** Closes the connection with a reset. */
  void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

package org.bambooarch.gateway.bodypath;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One connection between the instance and a server, with the server's end of it. Connecting and
 * each write of the instance wait until the server lets them happen.
 */
final class SimulatedLink implements SimulatedChannel.Peer {

  private final SimulatedChannel channel = new SimulatedChannel(this);
  private final EmbeddedChannel decoder =
      new EmbeddedChannel(new HttpRequestDecoder(4_096, 65_536, 65_536));
  private final Consumer<String> onRequestArrived;
  private final Consumer<String> violations;
  private final Map<String, Long> arrivedBytes;
  private final List<ByteBuf> written = new ArrayList<>();
  private final Deque<Integer> unreadPayloadBytes = new ArrayDeque<>();
  private SocketAddress remote;
  private boolean connectsAtOnce;
  private boolean finSent;
  private boolean closeDelimited;
  private String earlierAnswer = "";
  private String lastAnswer = "";

  private String idOnWire = "";
  private String requestId = "";
  private String lastRequestId = "";
  private String says = "";
  private long wholeRequestBytes;
  private long requestBytes;
  private boolean requestEnded;
  private boolean headSent;
  private boolean chunked;
  private long wholeResponseBytes;
  private long responseBytes;
  private long readPayloadBytes;

  /**
   * Creates a link that is not open.
   *
   * @param violations receives what the server must never get
   * @param onRequestArrived receives the id of each request that arrives
   * @param arrivedBytes how much of the body of each request has arrived at any server, by its id
   */
  SimulatedLink(
      Consumer<String> violations,
      Consumer<String> onRequestArrived,
      Map<String, Long> arrivedBytes) {
    this.violations = violations;
    this.arrivedBytes = arrivedBytes;
    this.onRequestArrived = onRequestArrived;
  }

  SimulatedChannel channel() {
    return channel;
  }

  void connectAtOnce(boolean atOnce) {
    connectsAtOnce = atOnce;
  }

  @Override
  public void onConnect(SocketAddress newRemote) {
    remote = newRemote;
    if (connectsAtOnce) {
      channel.connectNow();
    }
  }

  void refuseConnection(boolean timedOut) {
    channel.failConnect(
        timedOut ? new ConnectTimeoutException("timed out") : new ConnectException("refused"));
  }

  @Override
  public void onRead() {
    readPayloadBytes += unreadPayloadBytes.pollFirst();
  }

  /** Returns how much of the last response the instance has read, in bytes. */
  long readPayloadBytes() {
    return readPayloadBytes;
  }

  /** Returns whether the last response is one that the instance keeps until it is relayed. */
  boolean isKept() {
    return says.equals(PlainFormat.RUN);
  }

  @Override
  public void onBytes(ByteBuf bytes) {
    if (finSent) {
      // The server has closed its end and reads nothing.
      bytes.release();
      return;
    }
    decoder.writeInbound(bytes);
    for (Object object = decoder.readInbound(); object != null; object = decoder.readInbound()) {
      if (object instanceof HttpRequest head) {
        onHead(head);
      }
      if (object instanceof HttpContent content) {
        onContent(content);
      }
      ReferenceCountUtil.release(object);
    }
  }

  private void onHead(HttpRequest head) {
    earlierAnswer = lastAnswer;
    idOnWire = head.headers().get(PlainFormat.ID, "");
    requestId = head.headers().get(PlainFormat.ATTEMPT, "");
    wholeRequestBytes = Long.parseLong(head.headers().get(PlainFormat.LENGTH, "0"));
    lastRequestId = requestId;
    says = "";
    requestBytes = 0;
    requestEnded = false;
    headSent = false;
    closeDelimited = false;
    responseBytes = 0;
    readPayloadBytes = 0;
    onRequestArrived.accept(requestId);
  }

  private void onContent(HttpContent content) {
    byte[] bytes = ByteBufUtil.getBytes(content.content());
    if (!PatternBytes.matches(lastRequestId, requestBytes, bytes)) {
      violations.accept("server got a wrong part of the body of " + lastRequestId);
    }
    requestBytes += bytes.length;
    arrivedBytes.merge(lastRequestId, requestBytes, Math::max);
    if (content instanceof LastHttpContent && content.decoderResult().isSuccess()) {
      requestEnded = true;
      if (requestBytes != wholeRequestBytes) {
        violations.accept(
            "server got %d of %d bytes of %s as a whole body"
                .formatted(requestBytes, wholeRequestBytes, lastRequestId));
      }
    }
  }

  boolean isAccepted() {
    return channel.isActive() && !finSent;
  }

  String requestId() {
    return requestId;
  }

  /** Returns the id of the request that arrived last, whether it is in progress or not. */
  String lastRequestId() {
    return lastRequestId;
  }

  SocketAddress remote() {
    return remote;
  }

  boolean hasWholeRequest() {
    return requestEnded;
  }

  boolean awaitsHead() {
    return !requestId.isEmpty() && !headSent;
  }

  boolean awaitsBody() {
    return !requestId.isEmpty() && headSent;
  }

  /**
   * Writes the head of the response.
   *
   * @param framing "length", "chunked" or "close"
   */
  void sendHead(int status, String newSays, String framing, long wholeBytes, String extra) {
    headSent = true;
    says = newSays;
    chunked = framing.equals("chunked");
    closeDelimited = framing.equals("close");
    wholeResponseBytes = wholeBytes;
    String head =
        "HTTP/1.1 %d x\r\nid: %s\r\nattempt: %s\r\n".formatted(status, idOnWire, requestId);
    head += says.isEmpty() ? "" : PlainFormat.SAYS + ": " + says + "\r\n";
    lastAnswer = head + extra + PlainFormat.LENGTH + ": 0\r\ncontent-length: 0\r\n\r\n";
    if (!closeDelimited) {
      head += PlainFormat.LENGTH + ": " + wholeBytes + "\r\n";
      head += chunked ? "transfer-encoding: chunked\r\n" : "content-length: " + wholeBytes + "\r\n";
    }
    write(bytes(head + extra + "\r\n"), 0);
    if (framing.equals("length") && wholeBytes == 0) {
      requestId = "";
    }
  }

  /** Writes parts of the response of this length, as long as it is not complete. */
  void sendParts(int partBytes, int count) {
    ByteBuf out = Unpooled.buffer();
    int payload = 0;
    for (int i = 0; i < count && responseBytes < wholeResponseBytes; i++) {
      int length = (int) Math.min(partBytes, wholeResponseBytes - responseBytes);
      if (chunked) {
        out.writeCharSequence(Integer.toHexString(length) + "\r\n", StandardCharsets.US_ASCII);
      }
      out.writeBytes(PatternBytes.part(SimulatedClient.bodyKey(requestId), responseBytes, length));
      if (chunked) {
        out.writeCharSequence("\r\n", StandardCharsets.US_ASCII);
      }
      responseBytes += length;
      payload += length;
    }
    if (responseBytes == wholeResponseBytes && !closeDelimited) {
      if (chunked) {
        out.writeCharSequence("0\r\n\r\n", StandardCharsets.US_ASCII);
      }
      requestId = "";
    }
    write(out, payload);
  }

  /** Returns whether the server has answered a request before the one that arrived last. */
  boolean hasEarlierAnswer() {
    return !earlierAnswer.isEmpty();
  }

  /** Writes the answer to the request before the last one once more, without its body. */
  void repeatEarlierAnswer() {
    sendOther(earlierAnswer);
  }

  /** Writes bytes that belong to no response in progress. */
  void sendOther(String text) {
    write(bytes(text), 0);
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private void write(ByteBuf bytes, int payloadBytes) {
    if (!bytes.isReadable()) {
      bytes.release();
      return;
    }
    written.add(bytes);
    unreadPayloadBytes.addLast(payloadBytes);
    channel.writeFromPeer(bytes);
  }

  /** Closes the server's end; the instance still reads what was written before. */
  void sendFin() {
    finSent = true;
    if (closeDelimited) {
      requestId = "";
    }
    channel.endInput();
  }

  /** Resets the connection. */
  void reset() {
    channel.reset(new IOException("reset"));
  }

  /** Returns whether a buffer that the instance has read was not released. */
  boolean hasLeaked() {
    return written.stream().anyMatch(bytes -> bytes.refCnt() > 0);
  }

  @Override
  public String toString() {
    return "link[%s request=%s got %d%s, sent %d of %d, %s, read=%b%s%s%s]"
        .formatted(
            remote,
            requestId,
            requestBytes,
            requestEnded ? " whole" : "",
            responseBytes,
            wholeResponseBytes,
            channel.isOpen() ? "open" : "closed",
            channel.config().isAutoRead(),
            channel.isPeerSlow() ? ", slow" : "",
            channel.holdsWrites() ? ", holds writes" : "",
            channel.isConnecting() ? ", connecting" : "");
  }
}

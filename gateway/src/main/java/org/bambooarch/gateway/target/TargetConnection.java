package org.bambooarch.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.time.Clock;
import org.bambooarch.gateway.spi.RequestFormat;
import org.bambooarch.gateway.spi.ServerResponseHeaders;
import org.bambooarch.http.MalformedHeadException;
import org.bambooarch.http.ResponseDecoder;
import org.tinylog.Logger;

/**
 * One connection to one server, with one request at a time.
 *
 * <p>A response with another request id belongs to an earlier request and is skipped. If requests
 * and responses may no longer match (after such a response, after bytes that arrive while no
 * request is in progress, or after a response that begins before the request was sent in full), the
 * connection is not reused for another request. It carries a request id once at most, since a
 * second response to an earlier attempt could not be told from the response to a later one.
 *
 * <p>Used on the event loop only.
 */
public final class TargetConnection extends ChannelDuplexHandler {

  /** Most bytes that are skipped before the response to a request begins. */
  private static final long MAX_SKIPPED_BYTES = 1024 * 1024;

  /** Length from which a part of the body is passed on without waiting for more. */
  private static final int MAX_PART_BYTES = 64 * 1024;

  /**
   * Time for which a response that ended with the server's output waits for the rest of its request
   * to be sent: 0.2 s. A server that has ended resets the connection when more of it arrives.
   */
  private static final long REQUEST_WAIT_MILLIS = 200;

  private enum ReadState {
    IDLE,
    HEAD,
    SKIPPED_RESPONSE,
    BODY,
    /** The server has ended its output, while the request is still being sent. */
    END_OF_STREAM
  }

  private final TargetConnectionPool pool;
  private final RequestFormat format;
  private final Clock clock;
  private final DecodingThrottle throttle = new DecodingThrottle();
  private final RequestTargetEncoder targetEncoder = new RequestTargetEncoder();
  private final ResponseDecoder decoder = new ResponseDecoder();
  private final CarriedRequestIds carriedRequestIds = new CarriedRequestIds();
  private final ConnectionHistory history = new ConnectionHistory();
  private Channel channel;
  private ReadState readState = ReadState.IDLE;
  private TargetResponseListener listener;
  private String requestId = "";
  private ByteBuf receivedPart;
  private boolean listenerReads = true;
  private boolean throttled;
  private boolean reusable = true;
  private boolean requestComplete;
  private long bytesBeforeResponse;
  private long idleSinceNanos;
  private long keepAliveNanos;

  TargetConnection(TargetConnectionPool pool, RequestFormat format, Clock clock) {
    this.pool = pool;
    this.format = format;
    this.clock = clock;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  /** Returns the handler that must be between this one's encoder and the connection. */
  RequestTargetEncoder targetEncoder() {
    return targetEncoder;
  }

  /** Returns the decoder that must be between the connection and this handler. */
  ResponseDecoder decoder() {
    return decoder;
  }

  /** Sets how long the connection may be idle until the server states its own limit. */
  void keepAliveNanos(long nanos) {
    keepAliveNanos = nanos;
  }

  /**
   * Returns whether an idle connection may be used for another request.
   *
   * @param maxIdleNanos longest idle time that the request permits, in nanoseconds
   */
  boolean isUsable(long maxIdleNanos) {
    long idleNanos = clock.monotonicNanos() - idleSinceNanos;
    return channel.isActive() && reusable && idleNanos < Math.min(maxIdleNanos, keepAliveNanos);
  }

  /** Returns whether a request with this id must use another connection. */
  boolean hasCarried(String otherRequestId) {
    return carriedRequestIds.contains(otherRequestId);
  }

  /** Returns whether a request can be sent, which bytes that came before it prevent. */
  boolean isOpen() {
    return channel.isActive() && reusable;
  }

  /** Starts the idle time of a connection that was opened without a request. */
  void markIdle() {
    idleSinceNanos = clock.monotonicNanos();
  }

  /** Prevents further requests on this connection. */
  void markNotReusable() {
    reusable = false;
  }

  /**
   * Sends a request. If its body is streamed, {@link #sendBody} and {@link #endBody} must follow.
   */
  void send(TargetRequest request, TargetResponseListener newListener) {
    listener = newListener;
    requestId = request.requestId();
    carriedRequestIds.add(requestId);
    if (carriedRequestIds.isFull()) {
      reusable = false;
    }
    requestComplete = request.body().isPresent();
    readState = ReadState.HEAD;
    bytesBeforeResponse = 0;
    listener.onConnection(history.onRequest(requestId));
    listener.onSending();
    targetEncoder.beforeHead(request.path());
    decoder.beforeResponseTo(request.method());
    channel.writeAndFlush(request.toHttp(), channel.voidPromise());
  }

  /**
   * Sends a part of a streamed body.
   *
   * @param part the part, which is released when it is written
   * @param written called when the part is written, so that the next one may follow; not called if
   *     the write failed
   */
  public void sendBody(ByteBuf part, Runnable written) {
    channel
        .writeAndFlush(new DefaultHttpContent(part))
        .addListener(
            (ChannelFutureListener)
                future -> {
                  if (future.isSuccess()) {
                    written.run();
                  }
                });
  }

  /** Sends the end of a streamed body. */
  public void endBody() {
    requestComplete = true;
    channel
        .writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        .addListener(
            (ChannelFutureListener)
                future -> {
                  if (future.isSuccess()) {
                    completeAfterEndOfStream();
                  }
                });
  }

  /**
   * Cancels the request: closes the connection, so that the server stops working on the request.
   */
  public void cancel() {
    listener = null;
    readState = ReadState.IDLE;
    discardReceivedPart();
    close();
  }

  /** Closes the connection; a request in progress fails with a lost connection. */
  void close() {
    reusable = false;
    channel.close();
  }

  /** Stops or resumes reading the response, for backpressure from the client. */
  public void setAutoRead(boolean read) {
    listenerReads = read;
    updateAutoRead();
  }

  private void updateAutoRead() {
    channel.config().setAutoRead(listenerReads && !throttled);
  }

  /**
   * Returns whether bytes that have arrived may be decoded. If not, closes the connection: the
   * bytes arrived while no request is in progress, or too many arrived before the response to the
   * request.
   */
  boolean acceptsBytes(ByteBuf bytes) {
    switch (readState) {
      case IDLE -> {
        onUnrequested(RawResponseHead.parse(bytes));
        return false;
      }
      case HEAD, SKIPPED_RESPONSE -> {
        bytesBeforeResponse += bytes.readableBytes();
        if (bytesBeforeResponse > MAX_SKIPPED_BYTES) {
          failRequest("the server sent too many bytes that do not belong to the response");
          close();
          return false;
        }
        return true;
      }
      // BODY, END_OF_STREAM
      default -> {
        return true;
      }
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    pool.onRead();
    throttle.onObject();
    if (throttle.isExceeded() && readState != ReadState.IDLE) {
      throttled = true;
      updateAutoRead();
    }
    try {
      if (message instanceof HttpObject object) {
        onObject(object);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    passReceivedPartOn();
    long pauseNanos = throttle.endTurn();
    if (throttled) {
      // What is skipped before the response has a limit of its own, and goes on in the next turn.
      long delayNanos = readState == ReadState.BODY ? pauseNanos : 0;
      channel.eventLoop().schedule(this::resume, delayNanos, TimeUnit.NANOSECONDS);
    }
  }

  private void resume() {
    throttled = false;
    updateAutoRead();
  }

  private void onObject(HttpObject object) {
    if (object.decoderResult().isFailure()) {
      failRequest(reasonOf(object.decoderResult().cause()));
      close();
      return;
    }
    if (object instanceof HttpResponse head) {
      onHead(head);
    }
    if (object instanceof HttpContent content) {
      onContent(content);
    }
  }

  private static String reasonOf(Throwable decodingFailure) {
    String reason = "the server sent bytes that are not a valid HTTP response";
    // Messages of the library quote the bytes as they came, which a log line can't hold.
    return decodingFailure instanceof MalformedHeadException
        ? reason + ": " + decodingFailure.getMessage()
        : reason;
  }

  private void onHead(HttpResponse head) {
    if (readState == ReadState.IDLE) {
      onUnrequested(Optional.of(head));
      return;
    }
    if (JoinedHead.matches(head, requestId)) {
      String receivedId = format.readServerResponse(head).requestId();
      pool.onUnsolicitedResponse(history.onJoinedHead(receivedId, head.status().code()));
      failRequest("the server sent a response whose head broke off and another one behind it");
      close();
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      return;
    }
    ServerResponseHeaders headers = format.readServerResponse(head);
    if (!headers.requestId().equals(requestId)) {
      pool.onUnsolicitedResponse(
          history.onOtherRequestAnswered(headers.requestId(), head.status().code()));
      reusable = false;
      readState = ReadState.SKIPPED_RESPONSE;
      return;
    }
    readState = ReadState.BODY;
    boolean hasFraming =
        HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    boolean connectionEnds = !hasFraming || !HttpUtil.isKeepAlive(head);
    if (connectionEnds || !requestComplete) {
      reusable = false;
    }
    headers.keepAliveMillis().ifPresent(millis -> keepAliveNanos = millis * 1_000_000L / 2);
    listener.onResponseHead(head, headers);
  }

  /** Closes the connection since bytes arrived while no request was in progress. */
  private void onUnrequested(Optional<HttpResponse> head) {
    String receivedId =
        head.map(format::readServerResponse).map(ServerResponseHeaders::requestId).orElse("");
    int status = head.map(response -> response.status().code()).orElse(0);
    pool.onUnsolicitedResponse(history.onUnrequested(receivedId, status));
    close();
  }

  private void onContent(HttpContent content) {
    if (readState == ReadState.SKIPPED_RESPONSE && content instanceof LastHttpContent) {
      readState = ReadState.HEAD;
    } else if (readState == ReadState.BODY) {
      onBody(content);
    }
  }

  private void onBody(HttpContent content) {
    if (listener == null) {
      return;
    }
    collect(content.content());
    if (!(content instanceof LastHttpContent)) {
      return;
    }
    passReceivedPartOn();
    if (listener == null) {
      return;
    }
    if (decoder.isEndOfStreamRead() && !isRequestSent()) {
      readState = ReadState.END_OF_STREAM;
      channel
          .eventLoop()
          .schedule(this::completeAfterEndOfStream, REQUEST_WAIT_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    completeResponse();
  }

  /** Returns whether all of the request was written to the socket. */
  private boolean isRequestSent() {
    ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
    return requestComplete && unsent != null && unsent.isEmpty();
  }

  private void completeAfterEndOfStream() {
    if (readState == ReadState.END_OF_STREAM) {
      completeResponse();
    }
  }

  private void completeResponse() {
    readState = ReadState.IDLE;
    history.onAnswered();
    if (decoder.hasUndecodedBytes()) {
      // They belong to no request, and would be decoded as the beginning of the next response.
      reusable = false;
      pool.onUnsolicitedResponse(history.onBytesBehindResponse());
    }
    idleSinceNanos = clock.monotonicNanos();
    final TargetResponseListener finishedListener = listener;
    listener = null;
    // The client of this response may have paused; the next request has another one.
    throttled = false;
    setAutoRead(true);
    pool.release(this, reusable && channel.isActive());
    finishedListener.onComplete();
  }

  /**
   * Joins the chunks that are read in one turn of the event loop, since the listener handles each
   * part on its own.
   */
  private void collect(ByteBuf chunk) {
    if (!chunk.isReadable()) {
      return;
    }
    if (receivedPart == null) {
      receivedPart = chunk.retain();
      return;
    }
    receivedPart =
        ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(
            channel.alloc(), receivedPart, chunk.retain());
    if (receivedPart.readableBytes() >= MAX_PART_BYTES) {
      passReceivedPartOn();
    }
  }

  private void passReceivedPartOn() {
    ByteBuf part = receivedPart;
    receivedPart = null;
    if (part != null) {
      listener.onBodyPart(part);
    }
  }

  private void discardReceivedPart() {
    if (receivedPart != null) {
      receivedPart.release();
      receivedPart = null;
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      Logger.error(
          cause, "event=connection-fault reason=\"unexpected exception, closing the connection\"");
    }
    failRequest(cause.toString());
    close();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent && readState != ReadState.END_OF_STREAM) {
      close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    failRequest(reasonOfEnd());
    pool.onClosed(this);
  }

  private String reasonOfEnd() {
    if (!decoder.isEndOfStreamRead()) {
      return "the connection failed before the response was complete";
    }
    return readState == ReadState.END_OF_STREAM
        ? "the server closed the connection before the request was sent"
        : "the server closed the connection before the response was complete";
  }

  private void failRequest(String reason) {
    reusable = false;
    final TargetResponseListener failedListener = listener;
    listener = null;
    readState = ReadState.IDLE;
    discardReceivedPart();
    if (failedListener != null) {
      failedListener.onConnectionLost(reason);
    }
  }
}

package org.bambooarch.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import org.bambooarch.core.time.Clock;
import org.bambooarch.gateway.spi.RequestFormat;
import org.bambooarch.gateway.spi.ServerResponseHeaders;
import org.tinylog.Logger;

/**
 * One connection to one server; it carries one request at a time.
 *
 * <p>An answer with another id belongs to an earlier request and is skipped. After any doubt (such
 * an answer, bytes that nobody asked for, an answer before the request was sent in full) the
 * connection takes no further request.
 */
public final class TargetConnection extends ChannelDuplexHandler {

  private enum Reading {
    NOTHING,
    HEAD,
    SKIPPED_ANSWER,
    BODY
  }

  private final TargetConnectionPool pool;
  private final RequestFormat format;
  private final Clock clock;
  private Channel channel;
  private Reading reading = Reading.NOTHING;
  private TargetResponseListener call;
  private String requestId = "";
  private boolean broken;
  private boolean reusable = true;
  private boolean requestComplete;
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

  void keepAliveNanos(long nanos) {
    keepAliveNanos = nanos;
  }

  boolean isUsable(long maxIdleNanos) {
    long idleNanos = clock.monotonicNanos() - idleSinceNanos;
    return channel.isActive() && reusable && idleNanos < Math.min(maxIdleNanos, keepAliveNanos);
  }

  void markDoubtful() {
    reusable = false;
  }

  /** Sends a request; a streamed body follows by {@link #sendBody} and {@link #endBody}. */
  void send(TargetRequest request, TargetResponseListener newCall) {
    call = newCall;
    requestId = request.requestId();
    requestComplete = request.body().isPresent();
    reading = Reading.HEAD;
    call.onSending();
    channel.writeAndFlush(request.toHttp(), channel.voidPromise());
  }

  /**
   * Sends a part of a streamed body.
   *
   * @param written runs when there is room for the next part, or never if the connection ended
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

  /** Ends a streamed body. */
  public void endBody() {
    requestComplete = true;
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT, channel.voidPromise());
  }

  /** Gives the request up and closes the connection, so that the server stops working on it. */
  public void cancel() {
    call = null;
    reading = Reading.NOTHING;
    close();
  }

  void close() {
    reusable = false;
    channel.close();
  }

  /** Stops or resumes reading the answer, while its caller does not read. */
  public void setAutoRead(boolean read) {
    channel.config().setAutoRead(read);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (message instanceof HttpObject object) {
        onObject(object);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onObject(HttpObject object) {
    if (object.decoderResult().isFailure()) {
      lose("the server sent bytes that are no answer");
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

  private void onHead(HttpResponse head) {
    if (reading == Reading.NOTHING) {
      pool.onUnsolicitedResponse();
      close();
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      return;
    }
    ServerResponseHeaders headers = format.readServerResponse(head);
    if (!headers.requestId().equals(requestId)) {
      pool.onUnsolicitedResponse();
      reusable = false;
      reading = Reading.SKIPPED_ANSWER;
      return;
    }
    reading = Reading.BODY;
    boolean framed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    boolean lastAnswer = !framed || !HttpUtil.isKeepAlive(head);
    if (lastAnswer || !requestComplete) {
      reusable = false;
    }
    headers.keepAliveMillis().ifPresent(millis -> keepAliveNanos = millis * 1_000_000L / 2);
    call.onResponseHead(head, headers);
  }

  private void onContent(HttpContent content) {
    if (reading == Reading.SKIPPED_ANSWER && content instanceof LastHttpContent) {
      reading = Reading.HEAD;
    } else if (reading == Reading.BODY) {
      onBody(content);
    }
  }

  private void onBody(HttpContent content) {
    if (call == null) {
      return;
    }
    if (content.content().isReadable()) {
      call.onBodyPart(content.content().retain());
    }
    if (call == null || !(content instanceof LastHttpContent)) {
      return;
    }
    if (broken) {
      lose("the connection was reset before the answer was whole");
      return;
    }
    reading = Reading.NOTHING;
    idleSinceNanos = clock.monotonicNanos();
    TargetResponseListener finished = call;
    call = null;
    pool.release(this, reusable && channel.isActive());
    finished.onComplete();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      Logger.error(cause, "event=connection-fault");
    }
    broken = true;
    lose(cause.toString());
    close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    lose("the server closed the connection");
    pool.onClosed(this);
  }

  private void lose(String reason) {
    reusable = false;
    TargetResponseListener lost = call;
    call = null;
    reading = Reading.NOTHING;
    if (lost != null) {
      lost.onConnectionLost(reason);
    }
  }
}

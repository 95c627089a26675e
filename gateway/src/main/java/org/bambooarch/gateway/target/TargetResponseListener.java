package org.bambooarch.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.bambooarch.gateway.spi.ServerResponseHeaders;

/**
 * Receives the events of one request to a server. All methods are called on the event loop.
 *
 * <p>The first event is {@link #onUnreachable} or {@link #onConnection}. {@link #onUnreachable},
 * {@link #onComplete} and {@link #onConnectionLost} are final. After a call of {@link
 * TargetRequestHandle#cancel()} no event follows.
 */
public interface TargetResponseListener {

  /**
   * No connection could be opened, so nothing was sent.
   *
   * @param refused whether the machine refused the connection, so that no process listens on the
   *     port
   */
  void onUnreachable(boolean refused);

  /** A connection for the request is open. Called right before {@link #onSending}. */
  default void onConnection(ConnectionUse use) {}

  /** The request is about to be written; the server may run it from now on. */
  void onSending();

  /** The head of the response to this request has arrived. */
  void onResponseHead(HttpResponse head, ServerResponseHeaders headers);

  /** A part of the response body has arrived. The listener must release the buffer. */
  void onBodyPart(ByteBuf part);

  /** The response is complete. */
  void onComplete();

  /**
   * The connection failed or was closed before the response was complete.
   *
   * @param reason what happened, for the log
   */
  void onConnectionLost(String reason);
}

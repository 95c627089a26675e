package org.bambooarch.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.bambooarch.gateway.spi.ServerResponseHeaders;

/** Hears how a request at a server goes; all calls come on the event loop. */
public interface TargetResponseListener {

  /**
   * No connection could be opened, so nothing was sent.
   *
   * @param refused whether the machine answered that nothing listens there
   */
  void onUnreachable(boolean refused);

  /** The request is about to be written; it may run from now on. */
  void onSending();

  /** The head of the answer to this request is there. */
  void onResponseHead(HttpResponse head, ServerResponseHeaders headers);

  /** A part of the answer's body is there; the buffer belongs to the caller. */
  void onBodyPart(ByteBuf part);

  /** The answer is whole. */
  void onComplete();

  /** The connection ended before the answer was whole. */
  void onConnectionLost(String reason);
}

package org.bambooarch.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.bambooarch.gateway.spi.RelayHeaders;
import org.bambooarch.gateway.spi.ServerResponseHeaders;
import org.bambooarch.gateway.target.ConnectionUse;
import org.bambooarch.gateway.target.TargetResponseListener;

/**
 * Receives the events of a request that was sent through a relay instance. Passes on what the
 * server responded, and reports to the attempt what the relay instance states itself.
 *
 * <p>Used on the event loop only.
 */
final class RelayedResponseListener implements TargetResponseListener {

  private final ServerAttempt attempt;
  private Optional<RelayHeaders.Outcome> outcome = Optional.empty();

  RelayedResponseListener(ServerAttempt attempt) {
    this.attempt = attempt;
  }

  @Override
  public void onUnreachable(boolean refused) {
    attempt.onRelayUnreachable();
  }

  @Override
  public void onConnection(ConnectionUse use) {
    attempt.onConnection(use);
  }

  @Override
  public void onSending() {
    attempt.onSending();
  }

  @Override
  public void onResponseHead(HttpResponse head, ServerResponseHeaders headers) {
    outcome = RelayHeaders.Outcome.parse(head.headers().get(RelayHeaders.OUTCOME));
    if (outcome.isEmpty()) {
      attempt.onResponseHead(head, headers);
    }
  }

  @Override
  public void onBodyPart(ByteBuf part) {
    if (outcome.isEmpty()) {
      attempt.onBodyPart(part);
    } else {
      part.release();
    }
  }

  @Override
  public void onComplete() {
    if (outcome.isEmpty()) {
      attempt.onComplete();
      return;
    }
    switch (outcome.get()) {
      case NOT_SENT -> attempt.onNotSentByRelay();
      // LOST
      default -> attempt.onConnectionLost("the relay instance got no complete response");
    }
  }

  @Override
  public void onConnectionLost(String reason) {
    attempt.onRelayLost(reason);
  }
}

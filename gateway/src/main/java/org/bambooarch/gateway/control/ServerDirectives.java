package org.bambooarch.gateway.control;

import org.bambooarch.core.steering.place.NamedLimit;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.core.steering.place.ServerTable;
import org.bambooarch.core.time.Clock;
import org.bambooarch.gateway.spi.ServerResponseHeaders;
import org.tinylog.Logger;

/**
 * Applies what servers ask of the instances in the heads of their responses, and logs each change.
 *
 * <p>Used on the event loop only.
 */
public final class ServerDirectives {

  private final ServerTable servers;
  private final Clock clock;

  ServerDirectives(ServerTable servers, Clock clock) {
    this.servers = servers;
    this.clock = clock;
  }

  /**
   * Applies the head of a response. A head that an earlier run of the server, another server or
   * something else at its address may have written is ignored.
   *
   * @param server the server to which the request was sent
   * @param sentTo the entry of the server when the request was sent
   */
  public void onResponseHead(
      ServerState server, ServerEntry sentTo, ServerResponseHeaders headers) {
    boolean sameRun = sentTo.startWallMillis() == server.entry().startWallMillis();
    boolean fromServer = !headers.misdirected() && (headers.genuine() || headers.notRun());
    if (!sameRun || !fromServer) {
      return;
    }
    if (headers.leaving() && servers.onLeaving(sentTo)) {
      Logger.info("event=server-leaving server={}", server.entry().id());
    }
    applyLimit(server, headers);
    headers.restMillis().ifPresent(millis -> applyRest(server, millis));
  }

  private void applyRest(ServerState server, long millis) {
    long nowNanos = clock.monotonicNanos();
    if (!server.isResting(nowNanos)) {
      Logger.info("event=server-resting server={} for-millis={}", server.entry().id(), millis);
    }
    server.onRestAsked(millis, nowNanos);
  }

  private void applyLimit(ServerState server, ServerResponseHeaders headers) {
    long nowNanos = clock.monotonicNanos();
    boolean limitedBefore = server.limit().ownPerSecond(nowNanos) != NamedLimit.UNLIMITED;
    server.limit().onResponse(headers.limitPerSecond(), nowNanos);
    boolean limited = headers.limitPerSecond().isPresent();
    if (limited && !limitedBefore) {
      Logger.info(
          "event=server-limited server={} limit-per-second={}",
          server.entry().id(),
          headers.limitPerSecond().getAsDouble());
    } else if (!limited && limitedBefore) {
      Logger.info("event=server-limit-ended server={}", server.entry().id());
    }
  }
}

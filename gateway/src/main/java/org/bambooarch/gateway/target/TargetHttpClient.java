package org.bambooarch.gateway.target;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.core.steering.place.ServerTable;
import org.bambooarch.core.time.Clock;
import org.bambooarch.gateway.spi.RequestFormat;

/** The connections to all servers. */
public final class TargetHttpClient {

  /** Time for a connection to open: beyond it, another server is tried. */
  private static final int CONNECT_TIMEOUT_MILLIS = 800;

  private static final long COLD_START_MILLIS = 3_000;

  private final RequestFormat format;
  private final EventLoop loop;
  private final Clock clock;
  private final Map<String, TargetConnectionPool> pools = new HashMap<>();

  /** Creates connections that use one event loop. */
  public TargetHttpClient(RequestFormat format, EventLoop loop, Clock clock) {
    this.format = format;
    this.loop = loop;
    this.clock = clock;
  }

  /** Sends a request to a server; what comes of it is told to the call. */
  public TargetRequestHandle send(
      ServerState server, TargetRequest request, TargetResponseListener listener) {
    TargetRequestHandle handle = new TargetRequestHandle();
    pools
        .computeIfAbsent(server.entry().id(), id -> newPool(server))
        .send(
            request,
            listener,
            handle,
            () -> server.onConnected(COLD_START_MILLIS, clock.monotonicNanos()));
    return handle;
  }

  private TargetConnectionPool newPool(ServerState server) {
    return new TargetConnectionPool(server.entry(), format, loop, clock, CONNECT_TIMEOUT_MILLIS);
  }

  /** Closes the idle connections to servers that are listed no longer. */
  public void retainOnly(ServerTable servers) {
    Iterator<Map.Entry<String, TargetConnectionPool>> iterator = pools.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<String, TargetConnectionPool> pool = iterator.next();
      if (servers.find(pool.getKey()).isEmpty()) {
        pool.getValue().close();
        iterator.remove();
      }
    }
  }

  /** Closes all idle connections. */
  public void close() {
    pools.values().forEach(TargetConnectionPool::close);
    pools.clear();
  }
}

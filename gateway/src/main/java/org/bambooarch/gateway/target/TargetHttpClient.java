package org.bambooarch.gateway.target;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.bambooarch.core.steering.place.ServerEntry;
import org.bambooarch.core.steering.place.ServerState;
import org.bambooarch.core.steering.place.ServerTable;
import org.bambooarch.core.time.Clock;
import org.bambooarch.gateway.spi.RequestFormat;

/**
 * Sends requests to servers over pooled connections, with one pool for each server, at the address
 * that its newest entry names.
 *
 * <p>Used on the event loop only.
 */
public final class TargetHttpClient {

  /** Time limit for opening a connection; after it, the request is tried on another server. */
  private static final int CONNECT_TIMEOUT_MILLIS = 800;

  /** Time limit for opening a connection as a probe. */
  private static final int PROBE_TIMEOUT_MILLIS = 400;

  /** Time for which a server counts as cold if it accepts a connection after it refused one. */
  private static final long COLD_START_MILLIS = 3_000;

  private final RequestFormat format;
  private final Bootstrap bootstrap;
  private final EventLoop loop;
  private final Clock clock;
  private final ConnectionObserver observer;
  private final SkippedResponseListener skippedResponses;
  private final Map<String, ServerPool> pools = new HashMap<>();

  /** Kept for as long as the process runs: instances are few, and peers close idle connections. */
  private final Map<InetSocketAddress, TargetConnectionPool> relayPools = new HashMap<>();

  /**
   * Creates a client without connections.
   *
   * @param format header format of requests and responses
   * @param loop the event loop that all connections use
   * @param clock source of monotonic time
   * @param observer receives what all connections say about whether servers can be reached
   * @param skippedResponses receives the responses that belong to no request in progress
   */
  public TargetHttpClient(
      RequestFormat format,
      EventLoop loop,
      Clock clock,
      ConnectionObserver observer,
      SkippedResponseListener skippedResponses) {
    this(format, NettyTransport.newBootstrap(loop), loop, clock, observer, skippedResponses);
  }

  /** Creates a client whose connections a bootstrap opens that uses the event loop. */
  public TargetHttpClient(
      RequestFormat format,
      Bootstrap bootstrap,
      EventLoop loop,
      Clock clock,
      ConnectionObserver observer,
      SkippedResponseListener skippedResponses) {
    this.bootstrap = bootstrap;
    this.format = format;
    this.loop = loop;
    this.clock = clock;
    this.observer = observer;
    this.skippedResponses = skippedResponses;
  }

  /**
   * Sends a request to a server, over an idle connection or a new one.
   *
   * @param gate the request's gate, which the request has passed for an idle connection
   * @param listener receives the events of the request, possibly before this method returns
   * @return a handle by which the request can be cancelled and its body streamed
   */
  public TargetRequestHandle send(
      ServerState server, TargetRequest request, SendGate gate, TargetResponseListener listener) {
    TargetRequestHandle handle = new TargetRequestHandle();
    pool(server).send(request, gate, listener, handle, () -> onConnected(server));
    return handle;
  }

  /** Opens a connection to a server and keeps it as an idle one; the observer gets the result. */
  public void probe(ServerState server) {
    pool(server).probe(PROBE_TIMEOUT_MILLIS, () -> onConnected(server));
  }

  private TargetConnectionPool pool(ServerState server) {
    ServerEntry entry = server.entry();
    ServerPool known = pools.get(entry.id());
    if (known != null && known.hasAddressOf(entry)) {
      return known.connections();
    }
    if (known != null) {
      known.connections().close();
    }
    TargetConnectionPool connections = newPool(entry);
    pools.put(entry.id(), new ServerPool(entry.host(), entry.port(), connections));
    return connections;
  }

  /** The connections to the address that a server had when the first of them was opened. */
  private record ServerPool(String host, int port, TargetConnectionPool connections) {

    boolean hasAddressOf(ServerEntry entry) {
      return port == entry.port() && host.equals(entry.host());
    }
  }

  private void onConnected(ServerState server) {
    server.onConnected(COLD_START_MILLIS, clock.monotonicNanos());
  }

  private TargetConnectionPool newPool(ServerEntry entry) {
    return newPool(
        new InetSocketAddress(entry.host(), entry.port()),
        new ServerObserver(entry, observer, skippedResponses));
  }

  private TargetConnectionPool newPool(
      InetSocketAddress address, TargetConnectionPool.Observer poolObserver) {
    return new TargetConnectionPool(
        address, format, bootstrap, loop, clock, CONNECT_TIMEOUT_MILLIS, poolObserver);
  }

  private record ServerObserver(
      ServerEntry server, ConnectionObserver observer, SkippedResponseListener skippedResponses)
      implements TargetConnectionPool.Observer {

    @Override
    public void onConnected() {
      observer.onConnected(server);
    }

    @Override
    public void onConnectFailed() {
      observer.onConnectFailed(server);
    }

    @Override
    public void onProbeFailed() {
      observer.onProbeFailed(server);
    }

    @Override
    public void onConnectSlow() {
      observer.onConnectSlow();
    }

    @Override
    public void onRead() {
      observer.onRead();
    }

    @Override
    public void onResponseSkipped(SkippedResponse response) {
      skippedResponses.onResponseSkipped(server.id(), response);
    }
  }

  private record RelayObserver(InetSocketAddress relay, SkippedResponseListener skippedResponses)
      implements TargetConnectionPool.Observer {

    @Override
    public void onResponseSkipped(SkippedResponse response) {
      skippedResponses.onResponseSkipped(relay.getHostString() + ":" + relay.getPort(), response);
    }
  }

  /**
   * Sends a request to the relay port of another instance, over an idle connection or a new one,
   * which says nothing about whether servers can be reached.
   *
   * @param gate the request's gate, which the request has passed for an idle connection
   * @param listener receives the events of the request, possibly before this method returns
   * @return a handle by which the request can be cancelled and its body streamed
   */
  public TargetRequestHandle sendOverRelay(
      InetSocketAddress relay,
      TargetRequest request,
      SendGate gate,
      TargetResponseListener listener) {
    TargetRequestHandle handle = new TargetRequestHandle();
    relayPools
        .computeIfAbsent(
            relay, address -> newPool(address, new RelayObserver(address, skippedResponses)))
        .send(request, gate, listener, handle, () -> {});
    return handle;
  }

  /** Closes the idle connections to servers that are not in the given table any more. */
  public void retainOnly(ServerTable servers) {
    Iterator<Map.Entry<String, ServerPool>> iterator = pools.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<String, ServerPool> pool = iterator.next();
      if (servers.find(pool.getKey()).isEmpty()) {
        pool.getValue().connections().close();
        iterator.remove();
      }
    }
  }

  /** Closes all idle connections; requests in progress go on, and new ones may be sent. */
  public void closeIdle() {
    pools.values().forEach(pool -> pool.connections().close());
  }

  /** Closes all idle connections; requests in progress go on. */
  public void close() {
    closeIdle();
    pools.clear();
    relayPools.values().forEach(TargetConnectionPool::close);
    relayPools.clear();
  }
}

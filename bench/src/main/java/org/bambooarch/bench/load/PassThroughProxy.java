package org.bambooarch.bench.load;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.server.Server;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The baseline: a plain Armeria server that forwards each request to the targets in turn, without
 * the authorization header.
 */
final class PassThroughProxy implements AutoCloseable {

  private final Server server;

  private PassThroughProxy(Server server) {
    this.server = server;
  }

  static PassThroughProxy startOn(String host, List<Integer> targetPorts) {
    List<WebClient> targets =
        targetPorts.stream().map(port -> WebClient.of("h1c://" + host + ":" + port)).toList();
    AtomicInteger next = new AtomicInteger();
    Server server =
        Server.builder()
            .http(new InetSocketAddress(host, 0))
            .service(
                "prefix:/",
                (context, request) ->
                    targets
                        .get(Math.floorMod(next.getAndIncrement(), targets.size()))
                        .execute(
                            request.mapHeaders(
                                headers ->
                                    headers.toBuilder()
                                        .removeAndThen(HttpHeaderNames.AUTHORIZATION)
                                        .build())))
            .build();
    server.start().join();
    return new PassThroughProxy(server);
  }

  int port() {
    return server.activeLocalPort();
  }

  @Override
  public void close() {
    server.stop().join();
  }
}

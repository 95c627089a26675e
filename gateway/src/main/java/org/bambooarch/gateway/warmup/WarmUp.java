package org.bambooarch.gateway.warmup;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.server.Server;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.random.RandomGenerator;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.QuotaTolerance;
import org.bambooarch.core.time.Clock;
import org.bambooarch.gateway.Gateway;
import org.bambooarch.gateway.GatewaySettings;
import org.bambooarch.gateway.endpoint.DirectoryFormat;
import org.bambooarch.gateway.spi.RequestFormat;
import org.tinylog.Logger;

/**
 * Warms up the process: sends requests through a second gateway in the same process, on loopback
 * sockets.
 *
 * <p>A Java runtime that has just started loads classes and interprets bytecode. Without a warm-up,
 * the first requests of clients would wait for all of that at once.
 */
public final class WarmUp {

  /** Rounds of requests. After these, a further round takes no less time than the one before. */
  private static final int ROUNDS = 5;

  private static final int REQUESTS_PER_ROUND = 8;
  private static final int PORT_COUNT = 5;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final RequestFormat requestFormat;
  private final DirectoryFormat directoryFormat;
  private final EventLoopGroup eventLoops;
  private final Clock clock;

  /** Creates a warm-up with the formats and the event loops that the process will use. */
  public WarmUp(
      RequestFormat requestFormat,
      DirectoryFormat directoryFormat,
      EventLoopGroup eventLoops,
      Clock clock) {
    this.requestFormat = requestFormat;
    this.directoryFormat = directoryFormat;
    this.eventLoops = eventLoops;
    this.clock = clock;
  }

  /**
   * Runs the warm-up, and returns when its requests are done. A failure is logged and has no
   * further effect. Must not be called on the event loop.
   *
   * @return a future that completes when the threads of the warm-up have ended; a process that goes
   *     on need not wait for it
   */
  public CompletableFuture<Void> run() {
    try {
      return runRequests();
    } catch (IOException e) {
      logFailure(e);
      return CompletableFuture.completedFuture(null);
    }
  }

  private static void logFailure(Exception cause) {
    Logger.warn("event=rehearsal-failed reason=\"warm-up incomplete: {}\"", cause.toString());
  }

  private CompletableFuture<Void> runRequests() throws IOException {
    long startedNanos = clock.monotonicNanos();
    int[] ports = freePorts();
    Server server =
        Server.builder()
            .http(address(0))
            .workerGroup(eventLoops, false)
            .service("prefix:/", (context, request) -> notFound(request))
            .build();
    server.start().join();
    Gateway gateway =
        new Gateway(
            settings(ports),
            new WarmUpFormat(requestFormat),
            directoryFormat,
            new WarmUpStore(server.activeLocalPort()),
            eventLoops,
            clock,
            RandomGenerator.of("L64X128MixRandom"));
    ClientFactory clientFactory = ClientFactory.builder().workerGroup(eventLoops, false).build();
    CompletableFuture<Void> closed;
    try {
      gateway.start();
      int answered =
          send(WebClient.builder("h1c://127.0.0.1:" + ports[0]).factory(clientFactory).build());
      Logger.info(
          "event=rehearsed answered={} took-millis={}",
          answered,
          (clock.monotonicNanos() - startedNanos) / NANOS_PER_MILLI);
    } catch (CompletionException e) {
      logFailure(e);
    } finally {
      closed =
          CompletableFuture.allOf(
              gateway.closeAsync(), clientFactory.closeAsync(), server.closeAsync());
    }
    return closed;
  }

  private static int send(WebClient client) {
    int answered = 0;
    for (int round = 0; round < ROUNDS; round++) {
      List<CompletableFuture<AggregatedHttpResponse>> responses = new ArrayList<>();
      for (int i = 0; i < REQUESTS_PER_ROUND; i++) {
        HttpMethod method = i % 2 == 0 ? HttpMethod.GET : HttpMethod.POST;
        RequestHeaders headers =
            RequestHeaders.builder(method, WarmUpStore.PREFIX + i)
                .authority(WarmUpStore.HOST)
                .add("request-id", round + "-" + i)
                .add("cookie", "a=b")
                .build();
        HttpData body = method == HttpMethod.GET ? HttpData.empty() : HttpData.wrap(new byte[256]);
        responses.add(client.execute(HttpRequest.of(headers, body)).aggregate());
      }
      for (CompletableFuture<AggregatedHttpResponse> response : responses) {
        answered += response.join().status().equals(HttpStatus.NOT_FOUND) ? 1 : 0;
      }
    }
    return answered;
  }

  private static HttpResponse notFound(HttpRequest request) {
    return HttpResponse.of(
        request
            .aggregate()
            .thenApply(
                aggregated -> {
                  ResponseHeadersBuilder headers = ResponseHeaders.builder(HttpStatus.NOT_FOUND);
                  headers.set("request-id", aggregated.headers().get("request-id", ""));
                  return HttpResponse.of(headers.build(), HttpData.wrap(new byte[64]));
                }));
  }

  private static GatewaySettings settings(int[] ports) {
    InstanceIdentity identity =
        new InstanceIdentity(
            "rehearsal",
            1,
            "rehearsal",
            "rehearsal",
            "127.0.0.1:" + ports[0],
            "127.0.0.1:" + ports[4]);
    return new GatewaySettings(
        identity,
        address(ports[0]),
        address(ports[1]),
        address(ports[2]),
        address(ports[4]),
        address(ports[3]),
        Map.of("rehearsal", "rehearsal"),
        0,
        0,
        new QuotaTolerance(1, 0, 0),
        1_000,
        1_000,
        5_000);
  }

  private static InetSocketAddress address(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private static int[] freePorts() throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[PORT_COUNT];
    for (int i = 0; i < PORT_COUNT; i++) {
      sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      ports[i] = sockets.get(i).getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }
}

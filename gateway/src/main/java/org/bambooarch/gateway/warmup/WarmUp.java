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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.QuotaTolerance;
import org.bambooarch.core.time.Clock;
import org.bambooarch.gateway.Gateway;
import org.bambooarch.gateway.GatewaySettings;
import org.bambooarch.gateway.ListAgeBounds;
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

  /** A loopback address whose port the system chooses when it is bound. */
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

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
    } catch (IOException | RuntimeException e) {
      logFailure(e);
      return CompletableFuture.completedFuture(null);
    }
  }

  private static Void logFailure(Throwable cause) {
    Logger.warn("event=rehearsal-failed reason=\"warm-up incomplete: {}\"", cause.toString());
    return null;
  }

  private CompletableFuture<Void> runRequests() throws IOException {
    Server server =
        Server.builder()
            .http(ANY_PORT)
            .workerGroup(eventLoops, false)
            .service("prefix:/", (context, request) -> notFound(request))
            .build();
    Closing closing = new Closing();
    closing.add(server::closeAsync);
    try {
      server.start().join();
      runRequests(server.activeLocalPort(), closing);
    } catch (IOException | RuntimeException e) {
      // Closing may fail as well, and must not hide the first cause.
      logFailure(e);
    }
    return closing.closeAll();
  }

  private void runRequests(int serverPort, Closing closing) throws IOException {
    final long startedNanos = clock.monotonicNanos();
    Gateway gateway =
        new Gateway(
            settings(),
            new WarmUpFormat(requestFormat),
            directoryFormat,
            new WarmUpStore(serverPort),
            eventLoops,
            clock,
            RandomGenerator.of("L64X128MixRandom"));
    closing.add(gateway::closeAsync);
    ClientFactory clientFactory = ClientFactory.builder().workerGroup(eventLoops, false).build();
    closing.add(clientFactory::closeAsync);
    gateway.start();
    String uri = "h1c://127.0.0.1:" + gateway.clientAddress().getPort();
    int answered = send(WebClient.builder(uri).factory(clientFactory).build());
    Logger.info(
        "event=rehearsed answered={} took-millis={}",
        answered,
        (clock.monotonicNanos() - startedNanos) / NANOS_PER_MILLI);
  }

  /** What the warm-up has opened so far. */
  private static final class Closing {

    private final List<Supplier<CompletableFuture<?>>> closers = new ArrayList<>();

    void add(Supplier<CompletableFuture<?>> closer) {
      closers.add(closer);
    }

    /** Closes all, the last one first; failures are logged. */
    CompletableFuture<Void> closeAll() {
      List<CompletableFuture<?>> closed = new ArrayList<>();
      for (Supplier<CompletableFuture<?>> closer : closers.reversed()) {
        try {
          closed.add(closer.get());
        } catch (RuntimeException e) {
          logFailure(e);
        }
      }
      return CompletableFuture.allOf(closed.toArray(CompletableFuture<?>[]::new))
          .exceptionally(WarmUp::logFailure);
    }
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

  private static GatewaySettings settings() {
    // No other instance gets to know the addresses.
    InstanceIdentity identity =
        new InstanceIdentity(
            "rehearsal", 1, "rehearsal", "rehearsal", "127.0.0.1:0", "127.0.0.1:0");
    return new GatewaySettings(
        identity,
        ANY_PORT,
        ANY_PORT,
        ANY_PORT,
        ANY_PORT,
        ANY_PORT,
        Map.of("rehearsal", "rehearsal"),
        0,
        0,
        new QuotaTolerance(1, 0, 0),
        1_000,
        1_000,
        new ListAgeBounds(5_000, 5_000, 3_000));
  }
}

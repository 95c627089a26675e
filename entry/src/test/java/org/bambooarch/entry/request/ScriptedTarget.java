package org.bambooarch.entry.request;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bambooarch.core.request.header.HeaderRules;

/** A target whose paths answer, shed, cross answers or stream without end. */
final class ScriptedTarget implements AutoCloseable {

  private static final long CHUNK_INTERVAL_MILLIS = 100;

  final AtomicInteger runs = new AtomicInteger();
  final List<String> receivedHeaders = new CopyOnWriteArrayList<>();
  private final Server server;

  ScriptedTarget(String host) {
    server =
        Server.builder()
            .http(new InetSocketAddress(host, 0))
            .requestTimeoutMillis(0)
            .service("prefix:/", this::serve)
            .build();
    server.start().join();
  }

  int port() {
    return server.activeLocalPort();
  }

  @Override
  public void close() {
    server.stop().join();
  }

  private HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    request.headers().forEach((name, value) -> receivedHeaders.add(name + "=" + value));
    String id = request.headers().get(HeaderRules.REQUEST_ID, "");
    return switch (context.path()) {
      case "/orders/foreign" -> response(HttpStatus.OK, "someone else's id", "foreign");
      case "/orders/shed" -> shed(id);
      case "/orders/long" -> response(HttpStatus.OK, id, "x".repeat(100_000));
      case "/books/stream" -> stream(context, id);
      default -> response(HttpStatus.OK, id, "run " + runs.incrementAndGet());
    };
  }

  private static HttpResponse response(HttpStatus status, String id, String body) {
    ResponseHeaders headers =
        ResponseHeaders.builder(status).add(HeaderRules.REQUEST_ID, id).build();
    return HttpResponse.of(headers, HttpData.ofUtf8(body));
  }

  private static HttpResponse shed(String id) {
    return response(HttpStatus.SERVICE_UNAVAILABLE, id, "busy")
        .mapHeaders(h -> h.toBuilder().add(HeaderRules.OUTCOME, "not-run").build());
  }

  private static HttpResponse stream(ServiceRequestContext context, String id) {
    HttpResponseWriter writer = HttpResponse.streaming();
    writer.write(ResponseHeaders.builder(HttpStatus.OK).add(HeaderRules.REQUEST_ID, id).build());
    context
        .eventLoop()
        .scheduleAtFixedRate(
            () -> writer.write(HttpData.ofUtf8("part")),
            0,
            CHUNK_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS);
    return writer;
  }
}

package org.bambooarch.standin;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in of a target server. It answers each request with status 200, echoes the request id and
 * states in the body its own name and the request's method, path and customer.
 *
 * <p>For tests, trials and the quickstart only.
 */
public final class StandinTarget implements AutoCloseable {

  private static final String REQUEST_ID_HEADER = "x-request-id";

  private final String name;
  private final Server server;
  private final AtomicLong requestCount = new AtomicLong();

  private StandinTarget(String name, String host, int port) {
    this.name = name;
    this.server =
        Server.builder()
            .http(new InetSocketAddress(host, port))
            .maxRequestLength(0)
            .service("prefix:/", this::serve)
            .build();
  }

  /**
   * Starts a stand-in.
   *
   * @param name name of the server, which its answers state
   * @param host IP address to listen on
   * @param port port to listen on; 0 takes any free port
   */
  public static StandinTarget startOn(String name, String host, int port) {
    StandinTarget target = new StandinTarget(name, host, port);
    target.server.start().join();
    return target;
  }

  /** Returns the port on which the stand-in listens. */
  public int port() {
    return server.activeLocalPort();
  }

  /** Returns the number of requests whose headers have arrived. */
  public long requestCount() {
    return requestCount.get();
  }

  /** Stops listening and returns at once; running requests end in the background. */
  @Override
  public void close() {
    server.stop();
  }

  private HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    requestCount.incrementAndGet();
    return HttpResponse.of(request.aggregate().thenApply(whole -> respond(context, request)));
  }

  private HttpResponse respond(ServiceRequestContext context, HttpRequest request) {
    String customer = request.headers().get("x-customer", "");
    String body =
        "target=%s method=%s path=%s customer=%s%n"
            .formatted(name, request.method(), context.path(), customer);
    ResponseHeaders headers =
        ResponseHeaders.builder(HttpStatus.OK)
            .contentType(MediaType.PLAIN_TEXT_UTF_8)
            .add(REQUEST_ID_HEADER, request.headers().get(REQUEST_ID_HEADER, ""))
            .build();
    return HttpResponse.of(headers, HttpData.wrap(body.getBytes(StandardCharsets.UTF_8)));
  }
}

package org.bambooarch.gateway.request;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.logging.RequestLogProperty;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.key.KeyDigest;
import org.bambooarch.core.steering.config.CustomerPolicy;
import org.bambooarch.core.steering.config.ServiceRoute;
import org.bambooarch.core.steering.config.SteeringConfig;
import org.bambooarch.core.steering.hash.Hashes;
import org.bambooarch.gateway.control.ControlState;
import org.bambooarch.gateway.observability.GatewayMetrics;
import org.bambooarch.gateway.observability.RequestOutcome;
import org.bambooarch.gateway.spi.ClientRequestHeaders;

/**
 * Accepts requests of clients: finds the route and the customer, checks limits, and either refuses
 * the request or starts its {@link ProxyExchange}.
 *
 * <p>Used on the event loop only.
 */
public final class ProxyService implements HttpService {

  /**
   * Retry hint while the instance has no configuration, an outdated one or no list of servers: it
   * reads them from the store in about 0.1 s.
   */
  private static final long NO_CONFIGURATION_RETRY_MILLIS = 100;

  /** Random part on top of that hint, so that clients do not retry at the same time. */
  private static final long NO_CONFIGURATION_SPREAD_MILLIS = 150;

  /** Longest time for which a request waits for the store to confirm the configuration. */
  static final long MAX_CHECK_MILLIS = 300;

  /**
   * Part of the time that a client waits after which it gives up a request that was not read, as a
   * divisor.
   */
  private static final long UNREAD_TIMEOUT_DIVISOR = 3;

  /** Retry hint of an instance whose event loop is behind; it catches up within about that time. */
  private static final long OVERLOADED_RETRY_MILLIS = 300;

  /** Retry hint of an instance that is stopping; clients then use another instance. */
  static final long STOPPING_RETRY_MILLIS = 100;

  private final GatewayContext context;
  private final Set<ProxyExchange> exchanges = new HashSet<>();
  private int pendingRefusals;

  /** Creates the service; it refuses all requests while the state accepts none. */
  public ProxyService(GatewayContext context) {
    this.context = context;
  }

  /** Returns how many requests have no complete response yet. Called on the event loop only. */
  public int inFlight() {
    return exchanges.size() + pendingRefusals;
  }

  /**
   * Refuses all requests of which nothing has been sent to a server, since the process is about to
   * end. Called on the event loop only.
   */
  public void refuseUnsent() {
    List.copyOf(exchanges).forEach(ProxyExchange::refuseUnsent);
  }

  @Override
  public HttpResponse serve(ServiceRequestContext armeriaContext, HttpRequest request) {
    ClientRequestHeaders clientHeaders =
        context.requestFormat().readClientRequest(request.headers());
    ControlState state = context.state();
    if (!state.acceptsRequests()) {
      return refuse(request, clientHeaders, RequestOutcome.STOPPING, 503, STOPPING_RETRY_MILLIS);
    }
    Optional<SteeringConfig> config = state.config();
    if (config.isEmpty() || !state.servers().isLoaded()) {
      return refuse(
          request,
          clientHeaders,
          RequestOutcome.NO_CONFIGURATION,
          503,
          noConfigurationRetryMillis(clientHeaders));
    }
    if (state.isConfigurationOverdue()) {
      return refuse(
          request,
          clientHeaders,
          RequestOutcome.CONFIGURATION_OUTDATED,
          503,
          noConfigurationRetryMillis(clientHeaders),
          configurationAge());
    }
    return admit(armeriaContext, request, clientHeaders, config.get());
  }

  private static long noConfigurationRetryMillis(ClientRequestHeaders clientHeaders) {
    double spread = Hashes.toUnitInterval(Hashes.of(clientHeaders.requestId()));
    return NO_CONFIGURATION_RETRY_MILLIS + (long) (spread * NO_CONFIGURATION_SPREAD_MILLIS);
  }

  private HttpResponse admit(
      ServiceRequestContext armeriaContext,
      HttpRequest request,
      ClientRequestHeaders clientHeaders,
      SteeringConfig config) {
    RequestHeaders headers = request.headers();
    Optional<ServiceRoute> route =
        config.routeOf(Optional.ofNullable(headers.authority()).orElse(""), pathOf(headers.path()));
    if (route.isEmpty()) {
      return refuseByConfiguration(request, clientHeaders, config, RequestOutcome.NO_ROUTE, 404);
    }
    if (!context.state().acceptsRequestOf(clientHeaders.timeoutMillisOn(route.get()))) {
      return refuse(request, clientHeaders, RequestOutcome.STOPPING, 503, STOPPING_RETRY_MILLIS);
    }
    Optional<CustomerPolicy> customer =
        clientHeaders.apiKey().flatMap(key -> config.customerOfKey(KeyDigest.of(key)));
    boolean requiresKey = config.requiresKeys() && !route.get().openToAll();
    if (requiresKey && customer.isEmpty()) {
      return refuseByConfiguration(
          request, clientHeaders, config, RequestOutcome.KEY_REJECTED, 401);
    }
    if (headers.contentLength() > config.callerLimits().maxBodyBytes()) {
      return refuseByConfiguration(request, clientHeaders, config, RequestOutcome.TOO_LARGE, 413);
    }
    long unreadNanos = unreadNanos(armeriaContext, headers);
    long unreadMillis = unreadNanos / 1_000_000L;
    if (unreadMillis * UNREAD_TIMEOUT_DIVISOR > clientHeaders.timeoutMillisOn(route.get())) {
      return refuse(
          request,
          clientHeaders,
          RequestOutcome.OVERLOADED,
          503,
          OVERLOADED_RETRY_MILLIS,
          "unread-millis=%d lag-millis=%d"
              .formatted(unreadMillis, context.state().eventLoopLagNanos() / 1_000_000L));
    }
    if (requiresKey) {
      long nowNanos = context.state().clock().monotonicNanos();
      if (!context
          .state()
          .rateLimiter()
          .tryTake(customer.get(), route.get().priority(), nowNanos)) {
        long retryAfterMillis =
            context.state().rateLimiter().retryAfterMillis(customer.get(), nowNanos);
        String quotaDetails = context.state().rateLimiter().describe(customer.get(), nowNanos);
        return refuse(
            request, clientHeaders, RequestOutcome.OVER_RATE, 429, retryAfterMillis, quotaDetails);
      }
    }
    Optional<CustomerPolicy> chargedCustomer = requiresKey ? customer : Optional.empty();
    Admission admission = new Admission(config, route.get(), chargedCustomer, customer);
    return startExchange(armeriaContext, request, clientHeaders, admission, unreadNanos);
  }

  private long unreadNanos(ServiceRequestContext armeriaContext, RequestHeaders headers) {
    return context
        .arrivals()
        .unreadNanos(
            channelOf(armeriaContext), headers, armeriaContext.sessionProtocol().isMultiplex());
  }

  private HttpResponse startExchange(
      ServiceRequestContext armeriaContext,
      HttpRequest request,
      ClientRequestHeaders clientHeaders,
      Admission admission,
      long unreadNanos) {
    HttpResponseWriter writer = HttpResponse.streaming();
    Channel channel = channelOf(armeriaContext);
    ClientConnection connection = ClientConnection.of(channel);
    long number = connection.onRequest();
    ProxyExchange exchange =
        new ProxyExchange(
            context,
            request.headers(),
            clientHeaders,
            admission,
            writer,
            () -> connection.isNewest(number),
            unreadNanos);
    exchanges.add(exchange);
    // Armeria reports that the client has disconnected a second later than the connection does.
    ChannelFutureListener onClosed = closed -> exchange.onClientDisconnected();
    channel.closeFuture().addListener(onClosed);
    writer
        .whenComplete()
        .whenCompleteAsync(
            (done, failure) -> {
              exchanges.remove(exchange);
              channel.closeFuture().removeListener(onClosed);
              exchange.onClientDisconnected();
            },
            context.loop());
    request.subscribe(exchange.body(), context.loop());
    return writer;
  }

  private static Channel channelOf(ServiceRequestContext armeriaContext) {
    return armeriaContext.log().ensureAvailable(RequestLogProperty.SESSION).channel();
  }

  /**
   * Refuses a request that the configuration in force does not permit. Clients take the status as
   * final, so the store is asked first whether that configuration is the newest, unless it has
   * confirmed that lately.
   */
  private HttpResponse refuseByConfiguration(
      HttpRequest request,
      ClientRequestHeaders clientHeaders,
      SteeringConfig config,
      RequestOutcome outcome,
      int status) {
    ControlState state = context.state();
    if (state.isConfigurationConfirmed() || state.isConfigurationOutdated()) {
      return refuseIfConfirmed(request, clientHeaders, config, outcome, status);
    }
    CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    pendingRefusals++;
    Runnable respond =
        () -> {
          if (!response.isDone()) {
            pendingRefusals--;
            response.complete(refuseIfConfirmed(request, clientHeaders, config, outcome, status));
          }
        };
    context.configurationCheck().check().thenRun(respond);
    context.loop().schedule(respond, MAX_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    return HttpResponse.of(response);
  }

  /**
   * Refuses a request for good if the configuration that does not permit it is still in force and
   * known to be the newest; otherwise tells the client to come back or to try another instance.
   */
  private HttpResponse refuseIfConfirmed(
      HttpRequest request,
      ClientRequestHeaders clientHeaders,
      SteeringConfig config,
      RequestOutcome outcome,
      int status) {
    boolean inForce = context.state().config().filter(config::equals).isPresent();
    if (inForce && context.state().isConfigurationConfirmed()) {
      return refuse(request, clientHeaders, outcome, status, 0, configurationAge());
    }
    return refuse(
        request,
        clientHeaders,
        RequestOutcome.CONFIGURATION_OUTDATED,
        503,
        noConfigurationRetryMillis(clientHeaders),
        "refused-as=%s %s".formatted(GatewayMetrics.labelOf(outcome), configurationAge()));
  }

  private String configurationAge() {
    return "config-age-millis=" + context.state().configurationAgeMillis();
  }

  private HttpResponse refuse(
      HttpRequest request,
      ClientRequestHeaders clientHeaders,
      RequestOutcome outcome,
      int status,
      long retryAfterMillis) {
    return refuse(request, clientHeaders, outcome, status, retryAfterMillis, "");
  }

  private HttpResponse refuse(
      HttpRequest request,
      ClientRequestHeaders clientHeaders,
      RequestOutcome outcome,
      int status,
      long retryAfterMillis,
      String details) {
    context.metrics().onRequestFinished(outcome, 0);
    if (context.requestLog().tryAcquireLine(GatewayMetrics.labelOf(outcome))) {
      context
          .requestLog()
          .write(
              "event=request-refused request=%s outcome=%s status=%d path=%s config=%d %s"
                  .formatted(
                      clientHeaders.requestId(),
                      GatewayMetrics.labelOf(outcome),
                      status,
                      pathOf(request.path()),
                      context.state().config().map(SteeringConfig::version).orElse(0L),
                      details));
    }
    ResponseHeaders refusal =
        context.requestFormat().refusalHeaders(status, retryAfterMillis, clientHeaders.requestId());
    if (!context.state().acceptsRequests()) {
      // No request behind this one on its connection runs either.
      refusal = refusal.toBuilder().set(HttpHeaderNames.CONNECTION, "close").build();
    }
    request.abort();
    return HttpResponse.of(refusal);
  }

  /** Returns the path without the query. */
  public static String pathOf(String pathAndQuery) {
    int query = pathAndQuery.indexOf('?');
    return query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
  }
}

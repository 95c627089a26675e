package org.bambooarch.entry.request;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bambooarch.core.config.IssuedKey;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.request.NotRun;
import org.bambooarch.entry.control.FleetView;
import org.bambooarch.entry.request.RouteTable.RouteMatch;

/** Carries a caller's request to a target and streams the answer back. */
public final class ForwardService implements HttpService {

  /** Header with the request id, echoed to the caller. */
  public static final String REQUEST_ID_HEADER = "x-request-id";

  /** Header that tells a target which customer the request runs for. */
  public static final String CUSTOMER_HEADER = "x-customer";

  private static final String BEARER_PREFIX = "Bearer ";

  private final Supplier<FleetView> views;
  private final String localDataCentre;
  private final Supplier<RandomGenerator> random;
  private final Map<String, WebClient> clientsByServer = new ConcurrentHashMap<>();

  /** Creates the service over published views of the fleet. */
  public ForwardService(
      Supplier<FleetView> views, String localDataCentre, Supplier<RandomGenerator> random) {
    this.views = views;
    this.localDataCentre = localDataCentre;
    this.random = random;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    FleetView view = views.get();
    String requestId = request.headers().get(REQUEST_ID_HEADER, UUID.randomUUID().toString());
    Optional<RouteMatch> match = view.routes().match(request.method().name(), context.path());
    if (match.isEmpty()) {
      return refuse(NotRun.Reason.NO_ROUTE, "no route matches this method and path", requestId);
    }
    Optional<String> customer = customerOf(request.headers(), view);
    if (customer.isEmpty() && !match.get().route().openToAll()) {
      return refuse(NotRun.Reason.KEY_REJECTED, "no valid key in Authorization", requestId);
    }
    Optional<Server> server = chooseServer(view, match.get().service());
    if (server.isEmpty()) {
      return refuse(NotRun.Reason.NO_TARGET, "no server runs this service", requestId);
    }
    RequestHeaders forwarded =
        request.headers().toBuilder()
            .removeAndThen(HttpHeaderNames.AUTHORIZATION)
            .set(REQUEST_ID_HEADER, requestId)
            .set(CUSTOMER_HEADER, customer.orElse(""))
            .build();
    return clientOf(server.get()).execute(request.withHeaders(forwarded));
  }

  private static HttpResponse refuse(NotRun.Reason reason, String detail, String requestId) {
    return ProblemResponses.of(NotRun.notRun(reason, detail), requestId);
  }

  private static Optional<String> customerOf(RequestHeaders headers, FleetView view) {
    String authorization = headers.get(HttpHeaderNames.AUTHORIZATION, "");
    if (!authorization.startsWith(BEARER_PREFIX)) {
      return Optional.empty();
    }
    String digest = KeyDigests.digestOf(authorization.substring(BEARER_PREFIX.length()));
    IssuedKey key = view.config().keysByDigest().get(digest);
    if (key == null || key.withdrawn()) {
      return Optional.empty();
    }
    return Optional.of(key.customer());
  }

  private Optional<Server> chooseServer(FleetView view, String service) {
    List<Server> local = new ArrayList<>();
    List<Server> all = new ArrayList<>();
    for (Server server : view.config().inventory().servers()) {
      if (!server.service().equals(service)) {
        continue;
      }
      all.add(server);
      if (server.dataCentre().equals(localDataCentre)) {
        local.add(server);
      }
    }
    List<Server> candidates = local.isEmpty() ? all : local;
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(candidates.get(random.get().nextInt(candidates.size())));
  }

  private WebClient clientOf(Server server) {
    return clientsByServer.computeIfAbsent(
        server.host() + ":" + server.port(),
        authority ->
            WebClient.builder("h1c://" + authority)
                .maxResponseLength(0)
                .responseTimeoutMillis(0)
                .build());
  }
}

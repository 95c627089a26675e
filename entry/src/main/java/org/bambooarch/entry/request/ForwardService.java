package org.bambooarch.entry.request;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.bambooarch.core.key.KeyCheckResult;
import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.request.OutcomeUnknown;
import org.bambooarch.core.request.header.HeaderField;
import org.bambooarch.core.request.header.HeaderRules;
import org.bambooarch.core.request.header.KeyHeader;
import org.bambooarch.core.request.idempotency.IdempotencyRecordKey;
import org.bambooarch.entry.control.FleetView;
import org.bambooarch.entry.request.RouteTable.RouteMatch;
import org.tinylog.Logger;

/**
 * Forwards a caller's request to a target and returns the response.
 *
 * <p>The event loop matches the route, checks the key and collects the body; admission and dispatch
 * block, so they run on a virtual thread.
 */
public final class ForwardService implements HttpService {

  /** Header with the request id, on requests to targets and on responses to callers. */
  public static final String REQUEST_ID_HEADER = HeaderRules.REQUEST_ID;

  /** Header that names the customer to the target. */
  public static final String CUSTOMER_HEADER = HeaderRules.CUSTOMER;

  /** Largest request body that is accepted, in bytes. */
  public static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

  /** Shorter keys are not searched for in the path, because they may occur there by chance. */
  private static final int MIN_KEY_CHARS = 8;

  private static final long MAX_DEADLINE_MILLIS = 24L * 60 * 60 * 1000;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Supplier<FleetView> view;
  private final RequestServices services;

  /**
   * Creates the service.
   *
   * @param view returns the view of the fleet that was published last
   */
  public ForwardService(Supplier<FleetView> view, RequestServices services) {
    this.view = view;
    this.services = services;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    String requestId = services.newRequestId();
    List<HeaderField> headers = HeaderConverter.toFields(request.headers());
    FleetView current = view.get();
    Optional<RouteMatch> match = current.routes().match(request.method().name(), context.path());
    if (match.isEmpty()) {
      return refuse(ConfigurationRefusals.noRoute(isNewest(current)), headers, requestId);
    }
    KeyHeader keyHeader = HeaderRules.findKey(headers);
    KeyCheckResult keyCheckResult =
        keyHeader.key().map(services.keyCheck()::check).orElseGet(KeyCheckResult.Rejected::new);
    boolean openToAll = match.get().route().openToAll() && keyHeader instanceof KeyHeader.Missing;
    if (!openToAll && !(keyCheckResult instanceof KeyCheckResult.Accepted)) {
      return refuse(keyRefusal(keyHeader, keyCheckResult, current), headers, requestId);
    }
    if (keyHeader.key().filter(key -> containsKey(request.path(), key)).isPresent()) {
      return refuse(NotRun.Reason.BAD_REQUEST, "the path contains the caller's key", requestId);
    }
    return acceptRequest(request, headers, match.get(), keyCheckResult, requestId);
  }

  private boolean isNewest(FleetView current) {
    return current.isConfirmedNewest(services.clock().monotonicNanos());
  }

  private NotRun keyRefusal(KeyHeader keyHeader, KeyCheckResult result, FleetView current) {
    boolean mayBePermitted =
        result instanceof KeyCheckResult.Rejected && !(keyHeader instanceof KeyHeader.Ambiguous);
    return mayBePermitted
        ? ConfigurationRefusals.keyRejected(isNewest(current))
        : KeyRefusals.of(result);
  }

  private HttpResponse acceptRequest(
      HttpRequest request,
      List<HeaderField> headers,
      RouteMatch match,
      KeyCheckResult keyCheckResult,
      String requestId) {
    Optional<String> idempotencyKey =
        match.route().idempotent()
            ? Optional.empty()
            : firstValue(headers, HeaderRules.IDEMPOTENCY_KEY);
    if (idempotencyKey.isPresent() && !IdempotencyRecordKey.isWellFormed(idempotencyKey.get())) {
      return refuse(
          NotRun.Reason.BAD_REQUEST,
          "expected 1 to 128 visible ASCII characters in Idempotency-Key",
          requestId);
    }
    if (request.headers().contentLength() > MAX_BODY_BYTES) {
      return tooLarge(requestId);
    }
    long deadlineNanos = services.clock().monotonicNanos() + timeoutNanos(headers, match);
    CompletableFuture<HttpResponse> responseFuture = new CompletableFuture<>();
    HttpResponse response = HttpResponse.of(responseFuture);
    BodyCollector.collect(request, MAX_BODY_BYTES)
        .whenComplete(
            (body, failure) -> {
              if (failure != null) {
                responseFuture.complete(bodyRefusal(failure, requestId));
                return;
              }
              CallerRequest callerRequest =
                  new CallerRequest(
                      requestId,
                      match,
                      keyCheckResult instanceof KeyCheckResult.Accepted accepted
                          ? accepted.customer()
                          : "",
                      keyCheckResult instanceof KeyCheckResult.Accepted accepted
                          ? Optional.of(accepted.digest())
                          : Optional.empty(),
                      idempotencyKey,
                      request.method().name(),
                      request.path(),
                      HeaderRules.requestHeadersForTarget(headers),
                      body,
                      deadlineNanos);
              response.whenComplete().exceptionally(cause -> onCallerDisconnected(callerRequest));
              Thread.startVirtualThread(() -> responseFuture.complete(execute(callerRequest)));
            });
    return response;
  }

  private static Void onCallerDisconnected(CallerRequest request) {
    request.onCallerDisconnected();
    return null;
  }

  private HttpResponse execute(CallerRequest request) {
    try {
      Optional<NotRun> notAdmitted = admit(request);
      if (notAdmitted.isPresent()) {
        return ProblemResponses.of(
            notAdmitted.get(), request.requestId(), hasUncheckedEarlierSends(request));
      }
      if (!request.isIdempotent() && request.idempotencyKey().isPresent()) {
        return new RecordedRequestDispatch(services, request, request.idempotencyKey().get()).run();
      }
      return switch (new RequestDispatch(services, request, Optional.empty()).run()) {
        case DispatchResult.Aggregated(var response) ->
            HttpResponse.of(
                HeaderConverter.toCallerHeaders(response.headers(), request), response.content());
        case DispatchResult.Streaming(HttpResponse response) -> response;
        case DispatchResult.Refused(var refusal) ->
            ProblemResponses.of(refusal, request.requestId(), false);
      };
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return internalFailure(request);
    } catch (RuntimeException e) {
      Logger.error(e, "event=request-failed requestId={}", request.requestId());
      return internalFailure(request);
    }
  }

  /** Admits a request within its customer's rate; returns the refusal if that is not possible. */
  private Optional<NotRun> admit(CallerRequest request) {
    FleetView current = view.get();
    return services
        .admission()
        .admit(request.customer(), request.deadlineNanos())
        .map(
            refusal ->
                refusal.reason() == NotRun.Reason.KEY_REJECTED
                    ? ConfigurationRefusals.customerUnknown(refusal, isNewest(current))
                    : refusal);
  }

  /**
   * Returns the response to a failure inside this instance. The request may have reached a target
   * before, so its outcome is unknown.
   */
  private static HttpResponse internalFailure(CallerRequest request) {
    OutcomeUnknown refusal =
        OutcomeUnknown.of(
            OutcomeUnknown.Reason.TARGET_LOST, "this instance failed while it ran the request");
    return ProblemResponses.of(refusal, request.requestId(), false);
  }

  private static HttpResponse bodyRefusal(Throwable failure, String requestId) {
    if (failure instanceof BodyCollector.TooLargeException) {
      return tooLarge(requestId);
    }
    return refuse(NotRun.Reason.BAD_REQUEST, "the request's body did not arrive whole", requestId);
  }

  private static HttpResponse tooLarge(String requestId) {
    return refuse(
        NotRun.Reason.TOO_LARGE,
        "expected a body of at most " + MAX_BODY_BYTES + " bytes",
        requestId);
  }

  private static HttpResponse refuse(NotRun.Reason reason, String detail, String requestId) {
    return ProblemResponses.of(NotRun.of(reason, detail), requestId, false);
  }

  private static HttpResponse refuse(NotRun refusal, List<HeaderField> headers, String requestId) {
    boolean unchecked = firstValue(headers, HeaderRules.IDEMPOTENCY_KEY).isPresent();
    return ProblemResponses.of(refusal, requestId, unchecked);
  }

  /** Returns whether an idempotency record of an earlier copy may exist that was not read. */
  private static boolean hasUncheckedEarlierSends(CallerRequest request) {
    return request.idempotencyKey().isPresent();
  }

  private static boolean containsKey(String path, String key) {
    return key.length() >= MIN_KEY_CHARS && path.contains(key);
  }

  /**
   * Returns the time limit of the request in nanoseconds: the one in its deadline header, or else
   * that of the route; at most {@link #MAX_DEADLINE_MILLIS}.
   */
  private static long timeoutNanos(List<HeaderField> headers, RouteMatch match) {
    long routeTimeoutMillis = match.route().timeoutMillis();
    long requestedMillis =
        firstValue(headers, HeaderRules.DEADLINE)
            .map(ForwardService::parseMillis)
            .orElse(routeTimeoutMillis);
    return Math.min(requestedMillis, MAX_DEADLINE_MILLIS) * NANOS_PER_MILLI;
  }

  /** Returns the number in a deadline header; 0 if it is not a number of at most nine digits. */
  private static long parseMillis(String value) {
    boolean isNumber = value.length() <= 9 && value.chars().allMatch(c -> c >= '0' && c <= '9');
    return isNumber && !value.isEmpty() ? Long.parseLong(value) : 0;
  }

  private static Optional<String> firstValue(List<HeaderField> headers, String name) {
    return headers.stream()
        .filter(field -> field.name().equals(name))
        .map(HeaderField::value)
        .findFirst();
  }
}

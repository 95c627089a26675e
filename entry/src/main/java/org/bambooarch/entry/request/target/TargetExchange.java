package org.bambooarch.entry.request.target;

import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ProtocolViolationException;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.SplitHttpResponse;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.request.AttemptOutcome;
import org.bambooarch.core.request.header.HeaderField;
import org.bambooarch.core.request.header.HeaderRules;
import org.bambooarch.core.request.header.ResponseCheck;
import org.bambooarch.core.time.Clock;
import org.bambooarch.entry.request.CallerRequest;

/**
 * Sends one request to one server and classifies the result.
 *
 * <p>The send methods block until the result is known; call them on a virtual thread.
 */
public final class TargetExchange {

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final TargetClients clients;
  private final Clock clock;

  /** Creates an exchange that uses the given HTTP clients. */
  public TargetExchange(TargetClients clients, Clock clock) {
    this.clients = clients;
    this.clock = clock;
  }

  /** The result of sending a request to a server. */
  public sealed interface Result {

    /**
     * The headers of the response have arrived and carry the id of this request.
     *
     * @param headers the headers
     * @param split the response, of which the body is still to be read
     */
    record HeadersReceived(ResponseHeaders headers, SplitHttpResponse split) implements Result {}

    /**
     * The whole response has arrived and passed all checks.
     *
     * @param aggregated headers and body
     */
    record Aggregated(AggregatedHttpResponse aggregated) implements Result {}

    /**
     * There is no response that may be passed on to the caller.
     *
     * @param outcome the reason
     */
    record Failed(AttemptOutcome outcome) implements Result {}
  }

  /** Sends the request and waits for the headers of the response, until the deadline at most. */
  public Result sendAndAwaitHeaders(CallerRequest request, Server server, long deadlineNanos)
      throws InterruptedException {
    HttpResponse response = send(request, server, deadlineNanos);
    SplitHttpResponse split = response.split();
    try {
      ResponseHeaders headers = await(split.headers(), deadlineNanos);
      ResponseCheck check = ResponseCheck.forRequest(request.requestId());
      if (check.onHeaders(headers.get(HeaderRules.REQUEST_ID, ""), OptionalLong.empty())
          != ResponseCheck.Result.VALID) {
        response.abort();
        return new Result.Failed(new AttemptOutcome.InvalidResponse(0));
      }
      if (isShed(headers, request.isIdempotent())) {
        response.abort();
        return new Result.Failed(shed(headers));
      }
      return new Result.HeadersReceived(headers, split);
    } catch (ExecutionException e) {
      return failure(e.getCause(), server);
    } catch (TimeoutException e) {
      response.abort();
      return new Result.Failed(new AttemptOutcome.TimedOut(0));
    }
  }

  /** Sends the request and waits for the whole response, until the deadline at most. */
  public Result sendAndAwaitResponse(CallerRequest request, Server server, long deadlineNanos)
      throws InterruptedException {
    HttpResponse response = send(request, server, deadlineNanos);
    try {
      AggregatedHttpResponse aggregated = await(response.aggregate(), deadlineNanos);
      ResponseCheck check = ResponseCheck.forRequest(request.requestId());
      check.onHeaders(
          aggregated.headers().get(HeaderRules.REQUEST_ID, ""),
          declaredLength(aggregated.headers()));
      check.onData(aggregated.content().length());
      if (check.onEnd() != ResponseCheck.Result.VALID) {
        return new Result.Failed(new AttemptOutcome.InvalidResponse(0));
      }
      if (isShed(aggregated.headers(), request.isIdempotent())) {
        return new Result.Failed(shed(aggregated.headers()));
      }
      return new Result.Aggregated(aggregated);
    } catch (ExecutionException e) {
      return failure(e.getCause(), server);
    } catch (TimeoutException e) {
      response.abort();
      return new Result.Failed(new AttemptOutcome.TimedOut(0));
    }
  }

  /** Returns the body length that the headers declare, in bytes; empty if they declare none. */
  public static OptionalLong declaredLength(ResponseHeaders headers) {
    long length = headers.contentLength();
    return length < 0 ? OptionalLong.empty() : OptionalLong.of(length);
  }

  private HttpResponse send(CallerRequest request, Server server, long deadlineNanos) {
    RequestHeadersBuilder headers =
        RequestHeaders.builder(HttpMethod.valueOf(request.method()), request.pathAndQuery());
    for (HeaderField field : request.targetHeaders()) {
      headers.add(field.name(), field.value());
    }
    headers.set(HeaderRules.REQUEST_ID, request.requestId());
    headers.set(HeaderRules.CUSTOMER, request.customer());
    headers.set(HeaderRules.DEADLINE, Long.toString(remainingMillis(deadlineNanos)));
    HttpRequest outgoing = HttpRequest.of(headers.build(), HttpData.wrap(request.body()));
    HttpResponse response = clients.clientOf(server, request.isIdempotent()).execute(outgoing);
    request.onDispatched(response);
    return response;
  }

  private <T> T await(CompletableFuture<T> future, long deadlineNanos)
      throws InterruptedException, ExecutionException, TimeoutException {
    return future.get(Math.max(1, remainingMillis(deadlineNanos)), TimeUnit.MILLISECONDS);
  }

  private long remainingMillis(long deadlineNanos) {
    return Math.max(0, (deadlineNanos - clock.monotonicNanos()) / NANOS_PER_MILLI);
  }

  private static Result failure(Throwable cause, Server server) {
    if (cause instanceof UnprocessedRequestException) {
      return new Result.Failed(new AttemptOutcome.NotSent());
    }
    // StrictHttp1 closes the connection on a malformed response.
    if (cause.getCause() instanceof ProtocolViolationException) {
      return new Result.Failed(new AttemptOutcome.InvalidResponse(0));
    }
    return new Result.Failed(
        new AttemptOutcome.ConnectionLost(ServerLivenessProbe.isDown(server), 0));
  }

  /**
   * Returns whether the server refused the request for lack of capacity. For a non-idempotent
   * request the response must also state that the request did not run; otherwise it is passed on to
   * the caller, because the request may have run.
   */
  private static boolean isShed(ResponseHeaders headers, boolean idempotent) {
    HttpStatus status = headers.status();
    boolean busy =
        status.equals(HttpStatus.TOO_MANY_REQUESTS)
            || status.equals(HttpStatus.SERVICE_UNAVAILABLE);
    return busy && (idempotent || isMarkedNotRun(headers));
  }

  private static boolean isMarkedNotRun(ResponseHeaders headers) {
    return headers.get(HeaderRules.OUTCOME, "").equals("not-run");
  }

  private static AttemptOutcome shed(ResponseHeaders headers) {
    return new AttemptOutcome.Shed(isMarkedNotRun(headers), retryAfterMillis(headers));
  }

  private static OptionalLong retryAfterMillis(ResponseHeaders headers) {
    String value = headers.get("retry-after", "");
    if (value.isEmpty() || value.length() > 6 || !value.chars().allMatch(Character::isDigit)) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(Long.parseLong(value) * MILLIS_PER_SECOND);
  }
}

package org.bambooarch.store.http.internal;

import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.bambooarch.store.NotAppliedException;
import org.bambooarch.store.PlatformException;
import org.bambooarch.store.UnknownOutcomeException;

/**
 * Sends single HTTP calls to the platform, and tells by the exception whether a failed call may
 * have taken effect.
 */
public final class PlatformCalls {

  private static final int READ_ATTEMPTS = 2;

  private final WebClient client;
  private final Duration callTimeout;

  /** Sends calls with the given client; a call without a response fails after twice the timeout. */
  public PlatformCalls(WebClient client, Duration callTimeout) {
    this.client = client;
    this.callTimeout = callTimeout;
  }

  /**
   * A response of the platform.
   *
   * @param status HTTP status: 2xx, 404 or 409
   * @param body whole body
   */
  public record Response(HttpStatus status, byte[] body) {}

  /**
   * Sends a GET request, at most {@value #READ_ATTEMPTS} times until there is a response.
   *
   * @throws NotAppliedException if all attempts failed; a read never takes effect
   */
  public Response read(String pathAndQuery) throws NotAppliedException {
    PlatformException last = null;
    for (int attempt = 0; attempt < READ_ATTEMPTS; attempt++) {
      try {
        return call(RequestHeaders.of(HttpMethod.GET, pathAndQuery), HttpData.empty());
      } catch (PlatformException e) {
        last = e;
      }
    }
    throw new NotAppliedException(last.getMessage(), last);
  }

  /**
   * Sends a write once.
   *
   * @throws NotAppliedException if the request was not sent or was refused with status 503
   * @throws UnknownOutcomeException if there was no response, or one with a status other than 2xx,
   *     404 or 409
   */
  public Response write(RequestHeaders headers, HttpData body) throws PlatformException {
    return call(headers, body);
  }

  private Response call(RequestHeaders headers, HttpData body) throws PlatformException {
    String requestLine = headers.method() + " " + headers.path();
    AggregatedHttpResponse response = await(AggregatedHttpRequest.of(headers, body), requestLine);
    HttpStatus status = response.status();
    if (status.equals(HttpStatus.SERVICE_UNAVAILABLE)) {
      throw new NotAppliedException(
          requestLine + ": the platform refused the call with status 503, so it had no effect",
          null);
    }
    boolean expected =
        status.isSuccess()
            || status.equals(HttpStatus.NOT_FOUND)
            || status.equals(HttpStatus.CONFLICT);
    if (!expected) {
      throw new UnknownOutcomeException(
          requestLine + ": expected status 2xx, 404 or 409, got " + status, null);
    }
    return new Response(status, response.content().array());
  }

  private AggregatedHttpResponse await(AggregatedHttpRequest request, String requestLine)
      throws PlatformException {
    try {
      return client
          .execute(request)
          .aggregate()
          .get(2 * callTimeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      if (e.getCause() instanceof UnprocessedRequestException) {
        throw new NotAppliedException(
            requestLine + ": request not sent: " + e.getCause().getMessage(), e);
      }
      throw new UnknownOutcomeException(requestLine + ": no response: " + e.getCause(), e);
    } catch (TimeoutException e) {
      throw new UnknownOutcomeException(
          requestLine + ": no response within twice the call timeout", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new UnknownOutcomeException(
          requestLine + ": interrupted while waiting for the response", e);
    }
  }
}

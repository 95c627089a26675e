package org.bambooarch.entry.request;

import com.linecorp.armeria.common.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.bambooarch.core.request.crash.CrashFingerprint;
import org.bambooarch.core.request.header.HeaderField;
import org.bambooarch.entry.request.RouteTable.RouteMatch;

/**
 * A request of a caller whose key has been checked, whose body has arrived completely and whose
 * headers have been filtered.
 *
 * <p>The methods about dispatch and disconnection are thread-safe; all else is immutable.
 */
public final class CallerRequest {

  private final String requestId;
  private final RouteMatch match;
  private final String customer;
  private final Optional<String> keyDigest;
  private final Optional<String> idempotencyKey;
  private final String method;
  private final String pathAndQuery;
  private final List<HeaderField> targetHeaders;
  private final byte[] body;
  private final long deadlineNanos;
  private HttpResponse targetResponse;
  private boolean callerDisconnected;

  CallerRequest(
      String requestId,
      RouteMatch match,
      String customer,
      Optional<String> keyDigest,
      Optional<String> idempotencyKey,
      String method,
      String pathAndQuery,
      List<HeaderField> targetHeaders,
      byte[] body,
      long deadlineNanos) {
    this.requestId = requestId;
    this.match = match;
    this.customer = customer;
    this.keyDigest = keyDigest;
    this.idempotencyKey = idempotencyKey;
    this.method = method;
    this.pathAndQuery = pathAndQuery;
    this.targetHeaders = List.copyOf(targetHeaders);
    this.body = body;
    this.deadlineNanos = deadlineNanos;
  }

  /** Returns the id of the request, unique over all instances. */
  public String requestId() {
    return requestId;
  }

  /** Returns the matched route and the service that owns it. */
  public RouteMatch match() {
    return match;
  }

  /**
   * Returns the name of the customer; empty for a request without key on a route that is open to
   * all.
   */
  public String customer() {
    return customer;
  }

  /** Returns the digest of the API key; empty for a request without key. */
  public Optional<String> keyDigest() {
    return keyDigest;
  }

  /** Returns the value of Idempotency-Key; always empty for an idempotent request. */
  public Optional<String> idempotencyKey() {
    return idempotencyKey;
  }

  /** Returns the name of the HTTP method. */
  public String method() {
    return method;
  }

  /** Returns the path with the query string. */
  public String pathAndQuery() {
    return pathAndQuery;
  }

  /** Returns the headers to forward to the target, without those that this instance sets itself. */
  public List<HeaderField> targetHeaders() {
    return targetHeaders;
  }

  /** Returns the whole body; not a copy, so it must not be changed. */
  public byte[] body() {
    return body;
  }

  /** Returns the monotonic time in nanoseconds after which the caller no longer waits. */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns whether the route declares that a request may run more than once. */
  public boolean isIdempotent() {
    return match.route().idempotent();
  }

  /** Returns the fingerprint of service, method, path and body, equal for all senders. */
  public CrashFingerprint fingerprint() {
    return CrashFingerprint.of(match.service(), method, pathAndQuery, body);
  }

  /**
   * Sets the exchange with the target that is aborted when the caller disconnects. If the caller of
   * an idempotent request has already disconnected, the exchange is aborted at once.
   */
  public synchronized void onDispatched(HttpResponse response) {
    targetResponse = response;
    if (callerDisconnected && isIdempotent()) {
      response.abort();
    }
  }

  /**
   * Aborts the exchange of an idempotent request; the exchange of a non-idempotent one goes on, so
   * that its outcome becomes known.
   */
  synchronized void onCallerDisconnected() {
    callerDisconnected = true;
    if (targetResponse != null && isIdempotent()) {
      targetResponse.abort();
    }
  }

  synchronized boolean hasCallerDisconnected() {
    return callerDisconnected;
  }
}

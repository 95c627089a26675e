package org.bambooarch.entry.request;

import com.linecorp.armeria.common.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.bambooarch.core.request.crash.CrashFingerprint;
import org.bambooarch.core.request.header.HeaderField;
import org.bambooarch.entry.request.RouteTable.RouteMatch;

/** A request that was admitted: its key is checked, its body is here, its headers are cleaned. */
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

  /** Returns the number of the request, unique over all instances. */
  public String requestId() {
    return requestId;
  }

  /** Returns the route and its service. */
  public RouteMatch match() {
    return match;
  }

  /** Returns the name of the customer, or an empty text on a route open to all. */
  public String customer() {
    return customer;
  }

  /** Returns the digest of the key that came with the request. */
  public Optional<String> keyDigest() {
    return keyDigest;
  }

  /** Returns the caller's key for a non-idempotent request. */
  public Optional<String> idempotencyKey() {
    return idempotencyKey;
  }

  /** Returns the HTTP method. */
  public String method() {
    return method;
  }

  /** Returns the path with its query. */
  public String pathAndQuery() {
    return pathAndQuery;
  }

  /** Returns the headers that the target may see, without those that this system sets. */
  public List<HeaderField> targetHeaders() {
    return targetHeaders;
  }

  /** Returns the whole body. */
  public byte[] body() {
    return body;
  }

  /** Returns the monotonic moment after which the caller no longer waits. */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns whether the request may run more than once. */
  public boolean isIdempotent() {
    return match.route().idempotent();
  }

  /** Returns what the request asks, whoever sends it. */
  public CrashFingerprint fingerprint() {
    return CrashFingerprint.of(match.service(), method, pathAndQuery, body);
  }

  /** Notes the exchange that must end when the caller leaves. */
  public synchronized void onDispatched(HttpResponse response) {
    targetResponse = response;
    if (callerDisconnected && isIdempotent()) {
      response.abort();
    }
  }

  /** Ends the work of an idempotent request; another one runs on, so that its outcome is known. */
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

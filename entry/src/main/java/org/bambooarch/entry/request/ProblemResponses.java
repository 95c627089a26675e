package org.bambooarch.entry.request;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import java.util.OptionalLong;
import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.request.OutcomeUnknown;
import org.bambooarch.core.request.Refusal;
import org.bambooarch.core.request.header.HeaderRules;

/** Creates HTTP responses for refusals, with a body of type application/problem+json (RFC 9457). */
public final class ProblemResponses {

  /** Header that states whether a refused request ran: {@code not-run} or {@code unknown}. */
  public static final String OUTCOME_HEADER = "bambooarch-outcome";

  private static final MediaType PROBLEM_JSON = MediaType.create("application", "problem+json");
  private static final long MILLIS_PER_SECOND = 1000;

  private ProblemResponses() {}

  /** Returns the response for a refusal, without the header about unchecked earlier copies. */
  public static HttpResponse of(Refusal refusal, String requestId) {
    return of(refusal, requestId, false);
  }

  /**
   * Returns the response for a refusal.
   *
   * @param requestId id that the response header names
   * @param earlierSendsUnchecked whether an earlier copy with the same Idempotency-Key may have run
   *     although this one did not; the response states that in a header
   */
  public static HttpResponse of(Refusal refusal, String requestId, boolean earlierSendsUnchecked) {
    HttpResponse response = respond(refusal, requestId);
    if (!earlierSendsUnchecked) {
      return response;
    }
    return response.mapHeaders(
        headers -> headers.toBuilder().set(HeaderRules.EARLIER_SENDS, "unchecked").build());
  }

  private static HttpResponse respond(Refusal refusal, String requestId) {
    return switch (refusal) {
      case NotRun notRun ->
          response(
              notRun,
              "not-run",
              HttpStatus.valueOf(notRun.reason().httpStatus()),
              notRun.retryAfterMillis(),
              requestId);
      case OutcomeUnknown unknown ->
          response(
              unknown,
              "unknown",
              HttpStatus.valueOf(unknown.reason().httpStatus()),
              unknown.retryAfterMillis(),
              requestId);
    };
  }

  private static HttpResponse response(
      Refusal refusal,
      String outcome,
      HttpStatus status,
      OptionalLong retryAfterMillis,
      String requestId) {
    ResponseHeadersBuilder headers =
        ResponseHeaders.builder(status)
            .contentType(PROBLEM_JSON)
            .add(OUTCOME_HEADER, outcome)
            .add(ForwardService.REQUEST_ID_HEADER, requestId);
    if (retryAfterMillis.isPresent()) {
      long seconds = Math.ceilDiv(retryAfterMillis.getAsLong(), MILLIS_PER_SECOND);
      headers.add("retry-after", Long.toString(Math.max(1, seconds)));
    }
    String body =
        """
        {"type":"urn:bambooarch:problem:%s","status":%d,"outcome":"%s","detail":"%s"}
        """
            .formatted(refusal.code(), status.code(), outcome, escape(refusal.detail()));
    return HttpResponse.of(headers.build(), HttpData.ofUtf8(body));
  }

  private static String escape(String text) {
    return text.replace("\\", "\\\\").replace("\"", "\\\"");
  }
}

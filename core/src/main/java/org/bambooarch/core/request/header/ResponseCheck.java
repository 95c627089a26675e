package org.bambooarch.core.request.header;

import java.util.OptionalLong;

/**
 * Checks that a response belongs to its request and has the declared length.
 *
 * <pre>{@code
 * ResponseCheck check = ResponseCheck.forRequest(requestId);
 * check.onHeaders(echoedId, contentLength);
 * check.onData(chunk.length);
 * ResponseCheck.Result result = check.onEnd();
 * }</pre>
 *
 * <p>Not thread-safe: one thread reads a response.
 */
public final class ResponseCheck {

  /** The result of the check so far. */
  public enum Result {
    /** No error was found in the part received so far, or in the whole response at its end. */
    VALID,
    /** The response does not repeat the id of the request. */
    WRONG_REQUEST_ID,
    /** The response ended before the declared number of bytes arrived. */
    TOO_SHORT,
    /** More bytes than declared have arrived. */
    TOO_LONG
  }

  private final String requestId;
  private OptionalLong declaredBytes = OptionalLong.empty();
  private long receivedBytes;
  private boolean hasWrongRequestId;

  private ResponseCheck(String requestId) {
    this.requestId = requestId;
  }

  /** Returns a check for the response to the request with the given id. */
  public static ResponseCheck forRequest(String requestId) {
    return new ResponseCheck(requestId);
  }

  /**
   * Checks the headers of the response; call it first.
   *
   * @param echoedId value of the header that repeats the request id; an empty string if missing
   * @param contentLength declared length of the body in bytes; empty if none is declared
   */
  public Result onHeaders(String echoedId, OptionalLong contentLength) {
    hasWrongRequestId = !requestId.equals(echoedId);
    declaredBytes = contentLength;
    return hasWrongRequestId ? Result.WRONG_REQUEST_ID : Result.VALID;
  }

  /** Counts a part of the body, given its length in bytes, and checks for excess length. */
  public Result onData(int bytes) {
    receivedBytes += bytes;
    if (declaredBytes.isPresent() && receivedBytes > declaredBytes.getAsLong()) {
      return Result.TOO_LONG;
    }
    return Result.VALID;
  }

  /**
   * Checks the response at its regular end.
   *
   * <p>Does not report {@link Result#TOO_LONG} again: that result of {@link #onData} must not be
   * ignored.
   */
  public Result onEnd() {
    if (hasWrongRequestId) {
      return Result.WRONG_REQUEST_ID;
    }
    if (declaredBytes.isPresent() && receivedBytes < declaredBytes.getAsLong()) {
      return Result.TOO_SHORT;
    }
    return Result.VALID;
  }
}

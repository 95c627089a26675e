package org.bambooarch.core.request.header;

import java.util.OptionalLong;

/**
 * Checks that an answer belongs to its request and is whole.
 *
 * <pre>{@code
 * ResponseCheck check = ResponseCheck.forRequest(requestId);
 * check.onHeaders(echoedId, contentLength);
 * check.onData(chunk.length);
 * ResponseCheck.Result finding = check.onEnd();
 * }</pre>
 *
 * <p>Not thread-safe: one thread reads an answer.
 */
public final class ResponseCheck {

  /** What is known of an answer. */
  public enum Result {
    /** Nothing is wrong so far, or the whole answer arrived. */
    VALID,
    /** The answer does not repeat the id of the request. */
    WRONG_REQUEST_ID,
    /** Fewer bytes than declared arrived. */
    TOO_SHORT,
    /** More bytes than declared arrived. */
    TOO_LONG
  }

  private final String requestId;
  private OptionalLong declaredBytes = OptionalLong.empty();
  private long receivedBytes;
  private boolean hasWrongRequestId;

  private ResponseCheck(String requestId) {
    this.requestId = requestId;
  }

  /** Returns a check for the answer to the request with the given id. */
  public static ResponseCheck forRequest(String requestId) {
    return new ResponseCheck(requestId);
  }

  /**
   * Takes the headers of the answer.
   *
   * @param echoedId value of the header that repeats the request id, empty if it is missing
   * @param contentLength declared length in bytes, if any
   */
  public Result onHeaders(String echoedId, OptionalLong contentLength) {
    hasWrongRequestId = !requestId.equals(echoedId);
    declaredBytes = contentLength;
    return hasWrongRequestId ? Result.WRONG_REQUEST_ID : Result.VALID;
  }

  /** Takes a part of the body. */
  public Result onData(int bytes) {
    receivedBytes += bytes;
    if (declaredBytes.isPresent() && receivedBytes > declaredBytes.getAsLong()) {
      return Result.TOO_LONG;
    }
    return Result.VALID;
  }

  /** Takes the regular end of the answer. */
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

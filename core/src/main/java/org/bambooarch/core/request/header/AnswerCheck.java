package org.bambooarch.core.request.header;

import java.util.OptionalLong;

/**
 * Checks that an answer belongs to its request and is whole.
 *
 * <pre>{@code
 * AnswerCheck check = AnswerCheck.expecting(requestId);
 * check.onHeaders(echoedId, contentLength);
 * check.onData(chunk.length);
 * AnswerCheck.Finding finding = check.onEnd();
 * }</pre>
 *
 * <p>Not thread-safe: one thread reads an answer.
 */
public final class AnswerCheck {

  /** What is known of an answer. */
  public enum Finding {
    /** Nothing is wrong so far, or the whole answer arrived. */
    GOOD,
    /** The answer does not repeat the id of the request. */
    FOREIGN,
    /** Fewer bytes than declared arrived. */
    SHORT,
    /** More bytes than declared arrived. */
    LONG
  }

  private final String requestId;
  private OptionalLong declaredBytes = OptionalLong.empty();
  private long receivedBytes;
  private boolean foreign;

  private AnswerCheck(String requestId) {
    this.requestId = requestId;
  }

  /** Returns a check for the answer to the request with the given id. */
  public static AnswerCheck expecting(String requestId) {
    return new AnswerCheck(requestId);
  }

  /**
   * Takes the headers of the answer.
   *
   * @param echoedId value of the header that repeats the request id, empty if it is missing
   * @param contentLength declared length in bytes, if any
   */
  public Finding onHeaders(String echoedId, OptionalLong contentLength) {
    foreign = !requestId.equals(echoedId);
    declaredBytes = contentLength;
    return foreign ? Finding.FOREIGN : Finding.GOOD;
  }

  /** Takes a part of the body. */
  public Finding onData(int bytes) {
    receivedBytes += bytes;
    if (declaredBytes.isPresent() && receivedBytes > declaredBytes.getAsLong()) {
      return Finding.LONG;
    }
    return Finding.GOOD;
  }

  /** Takes the regular end of the answer. */
  public Finding onEnd() {
    if (foreign) {
      return Finding.FOREIGN;
    }
    if (declaredBytes.isPresent() && receivedBytes < declaredBytes.getAsLong()) {
      return Finding.SHORT;
    }
    return Finding.GOOD;
  }
}

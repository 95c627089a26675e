package org.bambooarch.soak;

/**
 * What a client got for one request.
 *
 * @param requestId value of {@code Request-Id} as sent
 * @param attempt number of the attempt, from 1
 * @param instance name of the instance
 * @param connection number of the client's connection
 * @param order position of the request on that connection, from 1
 * @param repeatable whether the request may run more than once
 * @param status status code, or 0 if no head was read
 * @param answeredId {@code Request-Id} of the answer, or empty
 * @param seal mark of the server that gave the answer, or empty
 * @param lengthBytes bytes of the body that were read
 * @param hash hash of these bytes
 * @param complete whether the answer was complete by its framing
 * @param problem why it was not complete, or empty
 * @param sentNanos steady clock when the request had been sent
 * @param readNanos steady clock when the answer had been read, or reading ended
 */
record ClientAnswer(
    String requestId,
    int attempt,
    String instance,
    long connection,
    int order,
    boolean repeatable,
    int status,
    String answeredId,
    String seal,
    int lengthBytes,
    String hash,
    boolean complete,
    String problem,
    long sentNanos,
    long readNanos) {

  boolean isSuccess() {
    return status / 100 == 2;
  }

  /** Returns whether the status promises that the request has not run and never will. */
  boolean isRefusal() {
    return status == 408 || status == 421 || status == 429 || status == 503;
  }
}

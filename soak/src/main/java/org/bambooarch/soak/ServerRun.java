package org.bambooarch.soak;

import java.util.concurrent.atomic.AtomicLong;

/**
 * What a server did with one request that it received. It is recorded before the server begins.
 *
 * @param requestId value of {@code Request-Id} as received
 * @param attempt number of the client's attempt, or 0 if the request did not state it
 * @param server id of the server
 * @param connection number of the server's connection
 * @param order position of the request on that connection, from 1
 * @param executed whether the request ran, as opposed to a refusal
 * @param service service of the server
 * @param region region of the server
 * @param route name of the route on which the request was sent
 * @param customer name of the customer that sent it, or empty if the request did not state it
 * @param sentNanos steady clock when the client began to send the request, or 0 if it did not state
 *     it
 * @param repeatable whether the request may run more than once
 * @param answer the answer that the server decided on
 * @param second answer that follows the first one without a request, or null
 * @param fault what the server does wrong while it answers
 * @param receivedNanos steady clock when the request had been received
 * @param writtenNanos steady clock when the answer had been written, or 0
 * @param secondWrittenNanos steady clock when the second answer had been written, or 0
 */
record ServerRun(
    String requestId,
    int attempt,
    String server,
    long connection,
    int order,
    boolean executed,
    String service,
    String region,
    String route,
    String customer,
    long sentNanos,
    boolean repeatable,
    Answer answer,
    Answer second,
    Fault fault,
    long receivedNanos,
    AtomicLong writtenNanos,
    AtomicLong secondWrittenNanos) {

  /** Returns whether the request was sent on the route that configurations move. */
  boolean moved() {
    return route.equals(PlayedDeployment.MOVED_ROUTE);
  }

  /** Returns whether the request ran on behalf of an attempt, or may have. */
  boolean ranFor(int clientAttempt) {
    return executed && (attempt == 0 || attempt == clientAttempt);
  }

  /**
   * An answer as its seal describes it.
   *
   * @param status status code
   * @param seal mark of the server
   * @param lengthBytes length of the body
   * @param hash hash of the body
   */
  record Answer(int status, String seal, int lengthBytes, String hash) {

    boolean isSuccess() {
      return status / 100 == 2;
    }
  }
}

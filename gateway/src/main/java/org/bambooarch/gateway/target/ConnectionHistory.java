package org.bambooarch.gateway.target;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Which requests and which unexpected responses a connection to a server has had.
 *
 * <p>Used on the event loop only.
 */
public final class ConnectionHistory {

  /** Shared by all event loops of the process, so that no two connections have one number. */
  private static final AtomicLong LAST_NUMBER = new AtomicLong();

  private final long number = LAST_NUMBER.incrementAndGet();
  private long requests;
  private long skippedResponses;
  private String requestId = "";
  private boolean answered;

  /** Returns the number of the connection, which no other connection of this process has had. */
  public long number() {
    return number;
  }

  /** Returns how many responses have been skipped so far. */
  public long skippedResponses() {
    return skippedResponses;
  }

  /** Records that a request is about to be written. */
  public ConnectionUse onRequest(String newRequestId) {
    requests++;
    requestId = newRequestId;
    answered = false;
    return new ConnectionUse(this, requests);
  }

  /** Records that the response to the request in progress is complete. */
  public void onAnswered() {
    answered = true;
  }

  /**
   * Records a response that names another request than the one in progress.
   *
   * @param receivedId the id that the response names; empty if it names none
   */
  public SkippedResponse onOtherRequestAnswered(String receivedId, int status) {
    skippedResponses++;
    return new SkippedResponse(
        new ConnectionUse(this, requests),
        SkippedResponse.Reason.OTHER_REQUEST,
        receivedId,
        status,
        requestId);
  }

  /**
   * Records a head that was decoded from the beginnings of two responses.
   *
   * @param receivedId the id that the head names; empty if it names none
   */
  public SkippedResponse onJoinedHead(String receivedId, int status) {
    skippedResponses++;
    return new SkippedResponse(
        new ConnectionUse(this, requests),
        SkippedResponse.Reason.JOINED_HEAD,
        receivedId,
        status,
        requestId);
  }

  /** Records bytes that were read together with the end of a response, and belong to no request. */
  public SkippedResponse onBytesBehindResponse() {
    skippedResponses++;
    return new SkippedResponse(
        new ConnectionUse(this, requests),
        SkippedResponse.Reason.BYTES_BEHIND_RESPONSE,
        "",
        0,
        requestId);
  }

  /**
   * Records a response that arrived while no request was in progress.
   *
   * @param receivedId the id that the response names; empty if it names none
   * @param status HTTP status, or 0 if the bytes that arrived have none
   */
  public SkippedResponse onUnrequested(String receivedId, int status) {
    skippedResponses++;
    boolean repeated = answered && receivedId.equals(requestId);
    return new SkippedResponse(
        new ConnectionUse(this, requests),
        repeated ? SkippedResponse.Reason.SECOND_RESPONSE : SkippedResponse.Reason.NO_REQUEST,
        receivedId,
        status,
        "");
  }
}

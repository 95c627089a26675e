package org.bambooarch.gateway.target;

/**
 * A response that was passed on to no request.
 *
 * @param use the connection, and the last request that was sent over it
 * @param receivedId id of the request that the response names; empty if it names none
 * @param status HTTP status, or 0 if the bytes that arrived have none
 * @param requestId id of the request in progress on the connection; empty if there was none
 */
public record SkippedResponse(
    ConnectionUse use, Reason reason, String receivedId, int status, String requestId) {

  /** Why a response was skipped. */
  public enum Reason {
    /** It names another request than the one in progress. */
    OTHER_REQUEST,
    /** It broke off within its head, and was decoded as one with the response behind it. */
    JOINED_HEAD,
    /**
     * It arrived together with the end of the response to a request. If it is complete, what it
     * names is reported as well.
     */
    BYTES_BEHIND_RESPONSE,
    /** No request was in progress. */
    NO_REQUEST,
    /** No request was in progress, and the request that it names had its response before. */
    SECOND_RESPONSE
  }
}

package org.bambooarch.gateway.spi;

import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/**
 * Translates headers of requests and responses between their wire format and the gateway's types.
 */
public interface RequestFormat {

  /** Reads the control information in the headers of a client's request. */
  ClientRequestHeaders readClientRequest(RequestHeaders headers);

  /**
   * Returns the headers with which a request is forwarded to a server.
   *
   * @param fromClient the headers of the client's request; the client's API key is not copied
   * @param added the headers that the gateway adds
   */
  HttpHeaders toServerRequest(RequestHeaders fromClient, ServerRequestHeaders added);

  /**
   * Returns the headers with which a request that another instance relayed is forwarded to its
   * server: those that the other instance set for the server, without the internal ones.
   *
   * @param relayed the headers of the request on the relay port
   * @param timeoutMillis how long the server may work on the request, in milliseconds
   */
  HttpHeaders toServerRequest(RequestHeaders relayed, long timeoutMillis);

  /**
   * Returns the name of the customer that another instance states for the server; empty if none.
   *
   * @param relayed the headers of the request on the relay port
   */
  Optional<String> relayedCustomer(RequestHeaders relayed);

  /**
   * Returns the status and headers with which a server's response is passed to the instance that
   * relayed the request; they include the control information of the server.
   */
  ResponseHeaders toRelayedResponse(HttpResponse head);

  /** Reads the control information in the head of a server's response. */
  ServerResponseHeaders readServerResponse(HttpResponse head);

  /** Returns the status and headers with which a server's response is relayed to the client. */
  ResponseHeaders toClientResponse(HttpResponse head);

  /**
   * Returns the status and headers of an error response that the gateway creates itself.
   *
   * @param retryAfterMillis when the client may retry, in milliseconds; 0 for no hint
   * @param requestId id of the client's request; empty if it had none
   */
  ResponseHeaders refusalHeaders(int status, long retryAfterMillis, String requestId);
}

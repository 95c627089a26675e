package org.bambooarch.gateway.spi;

import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** Translates the headers of requests and answers between the wire and the gateway's words. */
public interface RequestFormat {

  /** Reads what a caller's headers say to the system. */
  ClientRequestHeaders readClientRequest(RequestHeaders headers);

  /** Returns the headers with which a request goes to a server; the caller's key is not in them. */
  HttpHeaders toServerRequest(RequestHeaders fromCaller, ServerRequestHeaders own);

  /** Reads what the head of a server's answer says to the system. */
  ServerResponseHeaders readServerResponse(HttpResponse head);

  /** Returns the headers with which a server's answer goes to the caller. */
  ResponseHeaders toClientResponse(HttpResponse head);

  /** Returns the headers of a refusal of the system's own. */
  ResponseHeaders refusalHeaders(int status, long retryAfterMillis, String requestId);
}

package org.bambooarch.gateway.target;

import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.bambooarch.gateway.spi.ClientRequestHeaders;
import org.bambooarch.gateway.spi.RequestFormat;
import org.bambooarch.gateway.spi.ServerRequestHeaders;
import org.bambooarch.gateway.spi.ServerResponseHeaders;

/** A format for tests of connections, which reads no more of a response than its request id. */
final class ResponseIdFormat implements RequestFormat {

  private static final String REQUEST_ID = "id";

  @Override
  public ServerResponseHeaders readServerResponse(HttpResponse head) {
    return new ServerResponseHeaders(
        head.headers().get(REQUEST_ID, ""),
        true,
        false,
        false,
        false,
        Optional.empty(),
        OptionalLong.empty(),
        OptionalDouble.empty(),
        OptionalLong.empty());
  }

  @Override
  public ClientRequestHeaders readClientRequest(RequestHeaders headers) {
    throw new UnsupportedOperationException();
  }

  @Override
  public HttpHeaders toServerRequest(RequestHeaders fromClient, ServerRequestHeaders added) {
    throw new UnsupportedOperationException();
  }

  @Override
  public HttpHeaders toServerRequest(RequestHeaders relayed, long timeoutMillis) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Optional<String> relayedCustomer(RequestHeaders relayed) {
    throw new UnsupportedOperationException();
  }

  @Override
  public ResponseHeaders toRelayedResponse(HttpResponse head) {
    throw new UnsupportedOperationException();
  }

  @Override
  public ResponseHeaders toClientResponse(HttpResponse head) {
    throw new UnsupportedOperationException();
  }

  @Override
  public ResponseHeaders refusalHeaders(int status, long retryAfterMillis, String requestId) {
    throw new UnsupportedOperationException();
  }
}

package org.bambooarch.gateway.bodypath;

import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.bambooarch.gateway.spi.ClientRequestHeaders;
import org.bambooarch.gateway.spi.RelayHeaders;
import org.bambooarch.gateway.spi.RequestFormat;
import org.bambooarch.gateway.spi.ServerRequestHeaders;
import org.bambooarch.gateway.spi.ServerResponseHeaders;

/** Headers for tests without sockets: ids, and the lengths by which both ends check bodies. */
final class PlainFormat implements RequestFormat {

  /** Id of a request, which its response repeats. */
  static final String ID = "id";

  /** Names one attempt of a client, among those with its id; its own response repeats it. */
  static final String ATTEMPT = "attempt";

  /** Length of the whole body in bytes, however it is framed. */
  static final String LENGTH = "whole-length";

  /** How long the client waits, in milliseconds. */
  static final String TIMEOUT = "timeout";

  /** API key of a client, if it shows one. */
  static final String KEY = "key";

  /** Name of the customer of a request that another instance relays. */
  static final String CUSTOMER = "customer";

  /** Marks a genuine response, and says what the server did: run, not-run or misdirected. */
  static final String SAYS = "says";

  static final String RUN = "run";
  static final String NOT_RUN = "not-run";
  static final String MISDIRECTED = "misdirected";

  @Override
  public ClientRequestHeaders readClientRequest(RequestHeaders headers) {
    return new ClientRequestHeaders(
        headers.get(ID, ""),
        OptionalLong.of(headers.getLong(TIMEOUT, 1_000)),
        Optional.ofNullable(headers.get(KEY)),
        Optional.empty());
  }

  @Override
  public HttpHeaders toServerRequest(RequestHeaders fromClient, ServerRequestHeaders added) {
    return toServerRequest(fromClient, added.timeoutMillis());
  }

  @Override
  public HttpHeaders toServerRequest(RequestHeaders relayed, long timeoutMillis) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(ID, relayed.get(ID));
    headers.set(ATTEMPT, relayed.get(ATTEMPT));
    headers.set(LENGTH, relayed.get(LENGTH));
    headers.set(TIMEOUT, timeoutMillis);
    return headers;
  }

  @Override
  public Optional<String> relayedCustomer(RequestHeaders relayed) {
    return Optional.ofNullable(relayed.get(CUSTOMER));
  }

  @Override
  public ResponseHeaders toRelayedResponse(HttpResponse head) {
    ResponseHeadersBuilder builder = toClientResponse(head).toBuilder();
    copy(head, builder, SAYS);
    return builder.build();
  }

  @Override
  public ServerResponseHeaders readServerResponse(HttpResponse head) {
    String says = head.headers().get(SAYS, "");
    boolean ofRelay = head.headers().contains(RelayHeaders.OUTCOME);
    return new ServerResponseHeaders(
        head.headers().get(ID, ""),
        !says.isEmpty() || ofRelay,
        says.equals(NOT_RUN),
        says.equals(MISDIRECTED),
        false,
        Optional.empty(),
        OptionalLong.empty(),
        OptionalDouble.empty(),
        OptionalLong.empty());
  }

  @Override
  public ResponseHeaders toClientResponse(HttpResponse head) {
    ResponseHeadersBuilder builder =
        ResponseHeaders.builder(HttpStatus.valueOf(head.status().code()));
    copy(head, builder, ID);
    copy(head, builder, ATTEMPT);
    copy(head, builder, LENGTH);
    copy(head, builder, "content-length");
    return builder.build();
  }

  private static void copy(HttpResponse head, ResponseHeadersBuilder builder, String name) {
    String value = head.headers().get(name);
    if (value != null) {
      builder.set(name, value);
    }
  }

  @Override
  public ResponseHeaders refusalHeaders(int status, long retryAfterMillis, String requestId) {
    return ResponseHeaders.builder(HttpStatus.valueOf(status)).set(ID, requestId).build();
  }
}

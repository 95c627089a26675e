package org.bambooarch.gateway.target;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;

/**
 * A request to be sent to a server.
 *
 * @param method HTTP method
 * @param path path with query, as the client sent it
 * @param headers all headers except those of the body's framing, which {@link #toHttp()} adds
 * @param requestId id that the response must repeat
 * @param idempotent whether the request may be sent more than once, and so over a connection that
 *     was idle for long
 * @param body the full body, or empty if it is streamed
 * @param streamedBytes length of a streamed body in bytes, negative if unknown
 */
public record TargetRequest(
    String method,
    String path,
    HttpHeaders headers,
    String requestId,
    boolean idempotent,
    Optional<byte[]> body,
    long streamedBytes) {

  /**
   * Returns the head, or the full request if the body is not streamed; sets the framing headers.
   */
  HttpRequest toHttp() {
    HttpMethod httpMethod = HttpMethod.valueOf(method);
    if (body.isEmpty()) {
      if (streamedBytes >= 0) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, streamedBytes);
      } else {
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      }
      return new DefaultHttpRequest(HttpVersion.HTTP_1_1, httpMethod, path, headers);
    }
    byte[] bytes = body.get();
    boolean mayLackBody = bytes.length == 0 && !method.equals("POST") && !method.equals("PUT");
    if (!mayLackBody) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        httpMethod,
        path,
        Unpooled.wrappedBuffer(bytes),
        headers,
        EmptyHttpHeaders.INSTANCE);
  }
}

package org.bambooarch.gateway.endpoint;

import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Preserves the method, path and query of a request as the client sent them.
 *
 * <p>Armeria normalizes path and query before a service sees them, for example {@code %7e} to
 * {@code ~}, and refuses what it cannot normalize, for example {@code %zz}. Servers must get what
 * the client sent, so a Netty handler between Armeria's HTTP codec and its request decoder moves
 * the original URI into an internal header and leaves a placeholder, which {@link #restore}
 * reverts. It does the same with methods that Armeria does not know and would refuse with 405.
 *
 * <p>Control characters in a target make a request malformed, which Armeria refuses with 400.
 *
 * <p>The handler also drops offers to switch to another protocol, all of which are declined.
 */
public final class RawRequestUri {

  private static final String RAW_URI_HEADER = "x-bambooarch-raw-target";
  private static final String RAW_METHOD_HEADER = "x-bambooarch-raw-method";
  private static final String PLACEHOLDER_URI = "/";
  private static final HttpMethod PLACEHOLDER_METHOD = HttpMethod.POST;

  /**
   * A URI in absolute form, as clients send it to proxies: authority, then path and query. The
   * authority is a name or address, with or without a port, and has no user information.
   */
  private static final Pattern ABSOLUTE_URI =
      Pattern.compile(
          "https?://((?:[\\w.~%-]+|\\[[0-9a-f:.]+])(?::\\d*)?)([/?#].*)?",
          Pattern.CASE_INSENSITIVE | Pattern.DOTALL);

  private static final Pattern CONTROL_CHARACTER = Pattern.compile("[\\x00-\\x1f\\x7f]");

  /**
   * Number of first bytes by which Armeria detects HTTP/1 or HTTP/2 and then builds the pipeline.
   */
  private static final int PROTOCOL_DETECTION_BYTES = 4;

  private RawRequestUri() {}

  /** Installs the handlers in the pipeline of a new client connection. */
  public static void install(ChannelPipeline pipeline) {
    pipeline.addFirst(new Installer());
  }

  /**
   * Returns the headers with the method, path and query that the client sent, and without the
   * internal headers. The authority of a URI in absolute form replaces that of the host header. For
   * requests over HTTP/1 only.
   */
  public static RequestHeaders restore(RequestHeaders headers) {
    String rawUri = headers.get(RAW_URI_HEADER);
    if (rawUri == null) {
      return headers;
    }
    RequestHeadersBuilder restored = remove(headers).toBuilder();
    String rawMethod = headers.get(RAW_METHOD_HEADER);
    if (rawMethod != null) {
      restored.set(com.linecorp.armeria.common.HttpHeaderNames.METHOD, rawMethod);
    }
    Matcher absolute = ABSOLUTE_URI.matcher(rawUri);
    if (!absolute.matches()) {
      return restored.path(rawUri).build();
    }
    String pathAndQuery = Optional.ofNullable(absolute.group(2)).orElse("");
    return restored
        .authority(absolute.group(1))
        .path(pathAndQuery.startsWith("/") ? pathAndQuery : "/" + pathAndQuery)
        .build();
  }

  /**
   * Returns the headers without the internal headers, which can only come from the client if the
   * request came over HTTP/2, as no handler is installed there.
   */
  public static RequestHeaders remove(RequestHeaders headers) {
    return headers.toBuilder()
        .removeAndThen(RAW_URI_HEADER)
        .removeAndThen(RAW_METHOD_HEADER)
        .build();
  }

  /**
   * Forwards the first bytes of a connection to Armeria on their own, so that it builds its
   * pipeline, and then adds the {@link UriRecorder} after the HTTP codec and removes itself.
   */
  private static final class Installer extends ChannelInboundHandlerAdapter {

    private int forwardedBytes;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (!(message instanceof ByteBuf bytes)) {
        context.fireChannelRead(message);
        return;
      }
      int prefixLength = Math.min(PROTOCOL_DETECTION_BYTES - forwardedBytes, bytes.readableBytes());
      forwardedBytes += prefixLength;
      context.fireChannelRead(bytes.readRetainedSlice(prefixLength));
      if (forwardedBytes == PROTOCOL_DETECTION_BYTES) {
        addUriRecorder(context.pipeline());
        context.fireChannelRead(bytes);
        context.pipeline().remove(this);
      } else {
        bytes.release();
      }
    }

    private static void addUriRecorder(ChannelPipeline pipeline) {
      ChannelHandlerContext codec = pipeline.context(CombinedChannelDuplexHandler.class);
      if (codec != null) {
        pipeline.addAfter(codec.name(), null, new UriRecorder());
      }
    }
  }

  /** Moves the URI of each request, and its method if need be, into the internal headers. */
  private static final class UriRecorder extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpRequest request && request.decoderResult().isSuccess()) {
        record(request);
      }
      context.fireChannelRead(message);
    }

    private static void record(HttpRequest request) {
      request
          .headers()
          .remove(RAW_URI_HEADER)
          .remove(RAW_METHOD_HEADER)
          .remove(HttpHeaderNames.UPGRADE);
      String uri = request.uri();
      if (CONTROL_CHARACTER.matcher(uri).find()) {
        request.setDecoderResult(DecoderResult.failure(controlCharacter()));
        return;
      }
      // Armeria refuses any other URI.
      if (uri.startsWith("/") || ABSOLUTE_URI.matcher(uri).matches()) {
        request.headers().set(RAW_URI_HEADER, uri);
        request.setUri(PLACEHOLDER_URI);
        recordUnknownMethod(request);
      }
    }

    private static void recordUnknownMethod(HttpRequest request) {
      String method = request.method().name();
      if (!com.linecorp.armeria.common.HttpMethod.isSupported(method)) {
        request.headers().set(RAW_METHOD_HEADER, method);
        request.setMethod(PLACEHOLDER_METHOD);
      }
    }

    private static IllegalArgumentException controlCharacter() {
      return new IllegalArgumentException(
          "expected a request target without control characters but found one");
    }
  }
}

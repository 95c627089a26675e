package org.bambooarch.gateway.endpoint;

import com.linecorp.armeria.common.RequestHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Preserves the path and query of a request as the client sent them.
 *
 * <p>Armeria normalizes both before a service sees them, for example {@code %7e} to {@code ~}.
 * Servers must get what the client sent, so a Netty handler between Armeria's HTTP codec and its
 * request decoder copies the original URI into an internal header, which {@link #restore} removes.
 */
public final class RawRequestUri {

  private static final String RAW_URI_HEADER = "x-bambooarch-raw-target";

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
   * Returns the headers with the path and query that the client sent, and without the internal
   * header. The normalized path stays if the original URI does not begin with a slash.
   */
  public static RequestHeaders restore(RequestHeaders headers) {
    String rawUri = headers.get(RAW_URI_HEADER);
    if (rawUri == null) {
      return headers;
    }
    var restored = headers.toBuilder().removeAndThen(RAW_URI_HEADER);
    return rawUri.startsWith("/") ? restored.path(rawUri).build() : restored.build();
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

  /** Copies the URI of each request into the internal header. */
  private static final class UriRecorder extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpRequest request) {
        request.headers().set(RAW_URI_HEADER, request.uri());
      }
      context.fireChannelRead(message);
    }
  }
}

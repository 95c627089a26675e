package org.bambooarch.gateway.endpoint;

import com.linecorp.armeria.common.RequestHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Keeps path and query as the caller wrote them.
 *
 * <p>Armeria normalizes both before a service sees them, for example {@code %7e} to {@code ~}. A
 * server must get what the caller sent, so a handler between Armeria's codec and its request
 * decoder notes the text in a header.
 */
public final class RawRequestUri {

  private static final String RAW_URI_HEADER = "x-bambooarch-raw-target";

  /** Bytes from which Armeria tells HTTP/1 from HTTP/2; it builds the pipeline after them. */
  private static final int PROTOCOL_DETECTION_BYTES = 4;

  private RawRequestUri() {}

  /** Adds to a new connection what keeps its requests' targets. */
  public static void install(ChannelPipeline pipeline) {
    pipeline.addFirst(new Installer());
  }

  /** Returns the headers with path and query as the caller wrote them. */
  public static RequestHeaders restore(RequestHeaders headers) {
    String rawUri = headers.get(RAW_URI_HEADER);
    if (rawUri == null) {
      return headers;
    }
    var restored = headers.toBuilder().removeAndThen(RAW_URI_HEADER);
    return rawUri.startsWith("/") ? restored.path(rawUri).build() : restored.build();
  }

  /** Lets Armeria see the first bytes alone, and adds the handler once the codec is there. */
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

package org.bambooarch.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpClientCodec;

/**
 * Lets a client of Armeria decode responses with {@link ResponseDecoder}, because its own decoder
 * accepts malformed ones.
 *
 * <p>For connections with HTTP/1 only, without pipelining; those with HTTP/2 stay as they are.
 */
public final class StrictHttp1 {

  private StrictHttp1() {}

  /**
   * Prepares a connection that is about to be opened. To be set as the factory's {@code
   * CHANNEL_PIPELINE_CUSTOMIZER}.
   */
  public static void prepare(ChannelPipeline pipeline) {
    pipeline.addFirst(new CodecReplacer());
  }

  /** Replaces the codec when the connection is open, since Armeria adds it after preparing. */
  private static final class CodecReplacer extends ChannelInboundHandlerAdapter {

    @Override
    public void channelActive(ChannelHandlerContext context) {
      ChannelPipeline pipeline = context.pipeline();
      if (pipeline.get(HttpClientCodec.class) != null) {
        pipeline.replace(HttpClientCodec.class, null, new ClientCodec());
      }
      context.fireChannelActive();
      pipeline.remove(this);
    }
  }
}

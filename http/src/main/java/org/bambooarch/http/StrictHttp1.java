package org.bambooarch.http;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryOptions;
import com.linecorp.armeria.common.ProtocolViolationException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Lets a client of Armeria decode responses with {@link ResponseDecoder}, because its own decoder
 * accepts malformed ones.
 *
 * <p>For connections with HTTP/1 only, without pipelining; those with HTTP/2 stay as they are.
 */
public final class StrictHttp1 {

  private static final String CODEC_NAME = "strict-http1-codec";

  private StrictHttp1() {}

  /**
   * Prepares a connection that is about to be opened. To be set as the factory's {@code
   * CHANNEL_PIPELINE_CUSTOMIZER}.
   */
  public static void prepare(ChannelPipeline pipeline) {
    pipeline.addFirst(new CodecReplacer());
  }

  /** Returns a factory for all clients that need no other option; it is never closed. */
  public static ClientFactory sharedFactory() {
    return SharedFactory.INSTANCE;
  }

  /** Creates the factory on first use, since not every process needs one. */
  private static final class SharedFactory {

    private static final ClientFactory INSTANCE =
        ClientFactory.builder()
            .option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, StrictHttp1::prepare)
            .build();
  }

  /** Replaces the codec when the connection is open, since Armeria adds it after preparing. */
  private static final class CodecReplacer extends ChannelInboundHandlerAdapter {

    @Override
    public void channelActive(ChannelHandlerContext context) {
      ChannelPipeline pipeline = context.pipeline();
      if (pipeline.get(HttpClientCodec.class) != null) {
        ResponseDecoder decoder = new ResponseDecoder();
        pipeline.replace(HttpClientCodec.class, CODEC_NAME, new ClientCodec(decoder));
        pipeline.addAfter(CODEC_NAME, null, new ConnectionCloser(decoder));
      }
      context.fireChannelActive();
      pipeline.remove(this);
    }
  }

  /**
   * Closes the connection when the server has ended its output, when bytes follow a response, and
   * on a response that is malformed or was joined from two, which then becomes the cause of the
   * failure.
   */
  private static final class ConnectionCloser extends ChannelInboundHandlerAdapter {

    private final ResponseDecoder decoder;
    private boolean interim;

    private ConnectionCloser(ResponseDecoder decoder) {
      this.decoder = decoder;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof ChannelInputShutdownEvent) {
        context.close();
        return;
      }
      context.fireUserEventTriggered(event);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
        reject(context, message, object.decoderResult().cause());
        return;
      }
      if (message instanceof HttpResponse head) {
        if (SecondStatusLine.evidenceIn(head) == SecondStatusLine.Evidence.CERTAIN) {
          reject(context, message, MalformedHeadException.secondStatusLine());
          return;
        }
        interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      }
      context.fireChannelRead(message);
      if (message instanceof LastHttpContent && !interim && decoder.hasUndecodedBytes()) {
        // They would be decoded as the beginning of the next response.
        context.close();
      }
    }

    private static void reject(ChannelHandlerContext context, Object message, Throwable cause) {
      ReferenceCountUtil.release(message);
      context.fireExceptionCaught(new ProtocolViolationException(cause));
      context.close();
    }
  }
}

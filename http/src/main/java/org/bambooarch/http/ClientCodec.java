package org.bambooarch.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.List;

/** Encodes the requests of one connection and decodes their responses, one request at a time. */
final class ClientCodec extends CombinedChannelDuplexHandler<ResponseDecoder, HttpRequestEncoder> {

  ClientCodec(ResponseDecoder decoder) {
    init(decoder, new RequestEncoder(decoder));
  }

  private static final class RequestEncoder extends HttpRequestEncoder {

    private final ResponseDecoder decoder;

    private RequestEncoder(ResponseDecoder decoder) {
      this.decoder = decoder;
    }

    @Override
    protected void encode(ChannelHandlerContext context, Object message, List<Object> out)
        throws Exception {
      if (message instanceof HttpRequest request) {
        decoder.beforeResponseTo(request.method().name());
      }
      super.encode(context, message, out);
    }
  }
}

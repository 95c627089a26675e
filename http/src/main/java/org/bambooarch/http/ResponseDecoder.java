package org.bambooarch.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import io.netty.util.ByteProcessor;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes the responses of one server connection, which has one request at a time.
 *
 * <p>Unlike the decoder of Netty's client codec, it tells whether it holds bytes that it has not
 * decoded yet, and does not attribute an extra response to the method of a later request. A
 * response without a length ends only if the server has ended its output, and not if the connection
 * failed or was closed on this side. A later handler must close the connection on a {@link
 * ChannelInputShutdownEvent}, which tells it that the server has ended its output.
 */
public final class ResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_INITIAL_LINE_BYTES = 8 * 1024;
  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  private static final Pattern STATUS = Pattern.compile("[1-5]\\d\\d");

  private boolean headRequest;
  private boolean connectionFailed;
  private boolean endOfStreamRead;

  /** Creates the decoder of a connection that has not received anything. */
  public ResponseDecoder() {
    super(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
  }

  /** Sets the method of the request whose response comes next. */
  public void beforeResponseTo(String method) {
    headRequest = method.equals(HttpMethod.HEAD.name());
  }

  /**
   * Returns whether bytes have been read behind the last object that was decoded. Line breaks do
   * not count, which the decoder skips in front of the next response.
   */
  public boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0
        && internalBuffer().forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0;
  }

  /** Returns whether the server has ended its output, and the connection did not fail before. */
  public boolean isEndOfStreamRead() {
    return endOfStreamRead;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) throws Exception {
    super.handlerAdded(context);
    // The end of the server's output then comes as an event, and not like any other end.
    context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event instanceof ChannelInputShutdownEvent) {
      // Also follows a failed read.
      endOfStreamRead = !connectionFailed;
    }
    super.userEventTriggered(context, event);
  }

  @Override
  @SuppressWarnings("deprecation")
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) throws Exception {
    connectionFailed = true;
    super.exceptionCaught(context, cause);
  }

  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (endOfStreamRead) {
      super.decodeLast(context, in, out);
    }
  }

  /** Fails for a status that is not three digits from 100 to 599, which clients can't interpret. */
  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    if (!STATUS.matcher(initialLine[1]).matches()) {
      throw MalformedHeadException.status(initialLine[1]);
    }
    return super.createMessage(initialLine);
  }

  /**
   * Fails for a name that is not a token with a colon right behind it. Netty ends the name at the
   * first blank and continues behind the next colon, wherever that is.
   */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    AsciiString name = super.splitHeaderName(line, start, length);
    int invalidIndex = HttpHeaderValidationUtil.validateToken(name);
    int tokenLength = invalidIndex < 0 ? length : invalidIndex;
    byte next = line[start + tokenLength];
    if (tokenLength == 0 || next != ':') {
      throw MalformedHeadException.fieldName(next);
    }
    return name;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return headRequest || super.isContentAlwaysEmpty(message);
  }
}

package org.bambooarch.gateway.target;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ByteProcessor;
import java.util.regex.Pattern;

/**
 * Decodes the responses of one server connection, which has one request at a time.
 *
 * <p>Unlike the decoder of Netty's client codec, it tells whether it holds bytes that it has not
 * decoded yet, and does not attribute an extra response to the method of a later request.
 */
final class ResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_INITIAL_LINE_BYTES = 8 * 1024;
  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  private static final Pattern STATUS = Pattern.compile("[1-5]\\d\\d");

  private boolean headRequest;

  ResponseDecoder() {
    super(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
  }

  /** Sets the method of the request whose response comes next. */
  void beforeResponseTo(String method) {
    headRequest = method.equals(HttpMethod.HEAD.name());
  }

  /**
   * Returns whether bytes have been read behind the last object that was decoded. Line breaks do
   * not count, which the decoder skips in front of the next response.
   */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0
        && internalBuffer().forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0;
  }

  /** Fails for a status that is not three digits from 100 to 599, which clients can't interpret. */
  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    if (!STATUS.matcher(initialLine[1]).matches()) {
      throw new IllegalArgumentException("expected a status of HTTP but found " + initialLine[1]);
    }
    return super.createMessage(initialLine);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return headRequest || super.isContentAlwaysEmpty(message);
  }
}

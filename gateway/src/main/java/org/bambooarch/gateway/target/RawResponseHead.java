package org.bambooarch.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads for the log the head of a response that is not decoded, since its connection is closed. */
final class RawResponseHead {

  private static final int MAX_BYTES = 4 * 1024;
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] (\\d{3}).*");

  private RawResponseHead() {}

  /**
   * Returns the response that the bytes begin with, with the headers in their first 4 KB; empty if
   * they begin with no status line. Leaves the bytes unread.
   */
  static Optional<HttpResponse> parse(ByteBuf bytes) {
    int length = Math.min(bytes.readableBytes(), MAX_BYTES);
    Iterator<String> lines =
        bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1).lines().iterator();
    Matcher statusLine = STATUS_LINE.matcher(lines.hasNext() ? lines.next() : "");
    if (!statusLine.matches()) {
      return Optional.empty();
    }
    HttpHeaders headers =
        DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    while (lines.hasNext()) {
      String line = lines.next();
      int colon = line.indexOf(':');
      if (colon <= 0) {
        break;
      }
      headers.add(line.substring(0, colon), line.substring(colon + 1).strip());
    }
    HttpResponseStatus status = HttpResponseStatus.valueOf(Integer.parseInt(statusLine.group(1)));
    return Optional.of(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
  }
}

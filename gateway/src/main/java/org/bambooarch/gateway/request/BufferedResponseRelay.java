package org.bambooarch.gateway.request;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.ByteArrayOutputStream;
import org.bambooarch.gateway.target.TargetRequestHandle;

/**
 * Passes a server's answer on.
 *
 * <p>A short answer is passed on once it is whole, so that a broken one can still be replaced. A
 * long one begins earlier; if it breaks off then, the caller's connection ends with it, so that it
 * never looks whole.
 */
final class BufferedResponseRelay {

  /** Longest answer that is held until it is whole, in bytes. */
  static final int MAX_HELD_BYTES = 256 * 1024;

  private final HttpResponseWriter writer;
  private final ResponseHeaders head;
  private final TargetRequestHandle handle;
  private final boolean closesConnection;
  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private boolean begun;

  BufferedResponseRelay(
      HttpResponseWriter writer,
      ResponseHeaders head,
      TargetRequestHandle handle,
      boolean closesConnection) {
    this.writer = writer;
    this.head = head;
    this.handle = handle;
    this.closesConnection = closesConnection;
  }

  /** Returns whether the caller has a part of the answer already. */
  boolean hasBegun() {
    return begun;
  }

  void onBody(ByteBuf part) {
    byte[] bytes;
    try {
      bytes = ByteBufUtil.getBytes(part);
    } finally {
      part.release();
    }
    if (begun) {
      passOn(bytes);
      return;
    }
    held.writeBytes(bytes);
    if (held.size() > MAX_HELD_BYTES) {
      begun = true;
      writer.write(headers().build());
      passOn(held.toByteArray());
      held.reset();
    }
  }

  /** Reads from the server only as fast as the caller does. */
  private void passOn(byte[] bytes) {
    handle.setAutoRead(false);
    writer.write(HttpData.wrap(bytes));
    writer.whenConsumed().thenRun(() -> handle.setAutoRead(true));
  }

  void onWhole() {
    if (!begun) {
      byte[] bytes = held.toByteArray();
      var headers = headers();
      if (!head.status().isContentAlwaysEmpty() && !head.contains(HttpHeaderNames.CONTENT_LENGTH)) {
        headers.contentLength(bytes.length);
      }
      writer.write(headers.build());
      if (bytes.length > 0) {
        writer.write(HttpData.wrap(bytes));
      }
    }
    writer.close();
  }

  void breakOff() {
    writer.close(new IllegalStateException("the server's answer broke off"));
  }

  private com.linecorp.armeria.common.ResponseHeadersBuilder headers() {
    var builder = head.toBuilder();
    if (closesConnection) {
      builder.set(HttpHeaderNames.CONNECTION, "close");
    }
    return builder;
  }
}

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
  static final int MAX_BUFFERED_BYTES = 256 * 1024;

  private final HttpResponseWriter writer;
  private final ResponseHeaders head;
  private final TargetRequestHandle handle;
  private final boolean closeConnection;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private boolean started;

  BufferedResponseRelay(
      HttpResponseWriter writer,
      ResponseHeaders head,
      TargetRequestHandle handle,
      boolean closeConnection) {
    this.writer = writer;
    this.head = head;
    this.handle = handle;
    this.closeConnection = closeConnection;
  }

  /** Returns whether the caller has a part of the answer already. */
  boolean hasStarted() {
    return started;
  }

  void onBodyPart(ByteBuf part) {
    byte[] bytes;
    try {
      bytes = ByteBufUtil.getBytes(part);
    } finally {
      part.release();
    }
    if (started) {
      writePart(bytes);
      return;
    }
    buffer.writeBytes(bytes);
    if (buffer.size() > MAX_BUFFERED_BYTES) {
      started = true;
      writer.write(headers().build());
      writePart(buffer.toByteArray());
      buffer.reset();
    }
  }

  /** Reads from the server only as fast as the caller does. */
  private void writePart(byte[] bytes) {
    handle.setAutoRead(false);
    writer.write(HttpData.wrap(bytes));
    writer.whenConsumed().thenRun(() -> handle.setAutoRead(true));
  }

  void onComplete() {
    if (!started) {
      byte[] bytes = buffer.toByteArray();
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

  void abort() {
    writer.close(new IllegalStateException("the server's answer broke off"));
  }

  private com.linecorp.armeria.common.ResponseHeadersBuilder headers() {
    var builder = head.toBuilder();
    if (closeConnection) {
      builder.set(HttpHeaderNames.CONNECTION, "close");
    }
    return builder;
  }
}

package org.bambooarch.gateway.request;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.ByteArrayOutputStream;
import java.util.function.BooleanSupplier;
import org.bambooarch.gateway.target.TargetRequestHandle;

/**
 * Relays a server's response to the client.
 *
 * <p>A short response is buffered and relayed once it is complete, so that an incomplete one can
 * still be replaced, for example by another server's response. A response that exceeds the buffer,
 * or for which the instance has no memory left, is streamed from then on; if it is truncated, the
 * client's connection is aborted, so that the client never takes it for a complete one.
 *
 * <p>Used on the event loop only.
 */
public final class BufferedResponseRelay {

  /** Longest response body that is buffered until it is complete, in bytes. */
  public static final int MAX_BUFFERED_BYTES = 256 * 1024;

  private final HttpResponseWriter writer;
  private final ResponseHeaders head;
  private final TargetRequestHandle handle;
  private final BooleanSupplier closesConnection;
  private final ResponseBuffers buffers;
  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private long takenBytes;
  private boolean started;
  private boolean ended;

  /**
   * Creates a relay that has not received any part of the body.
   *
   * @param writer writer of the response to the client
   * @param head head of the response
   * @param handle handle of the request to the server
   * @param closesConnection tells, when the response is written, whether it is the last one on the
   *     client's connection
   * @param buffers memory for the part of the response that the client does not have yet
   */
  public BufferedResponseRelay(
      HttpResponseWriter writer,
      ResponseHeaders head,
      TargetRequestHandle handle,
      BooleanSupplier closesConnection,
      ResponseBuffers buffers) {
    this.writer = writer;
    this.head = head;
    this.handle = handle;
    this.closesConnection = closesConnection;
    this.buffers = buffers;
    writer
        .whenComplete()
        .handle(
            (done, failure) -> {
              releaseBuffer();
              return null;
            });
  }

  /** Returns whether a part of the response has been written to the client already. */
  public boolean hasStarted() {
    return started;
  }

  /** Buffers a part of the body, writes it or, if the client has left, drops it; releases it. */
  public void onBodyPart(ByteBuf part) {
    byte[] bytes;
    try {
      bytes = ByteBufUtil.getBytes(part);
    } finally {
      part.release();
    }
    if (!writer.isOpen()) {
      return;
    }
    if (started) {
      writePart(bytes);
      return;
    }
    buffer.writeBytes(bytes);
    if (buffer.size() > MAX_BUFFERED_BYTES || !takeBuffer(bytes.length)) {
      started = true;
      write(headers().build());
      writePart(buffer.toByteArray());
      buffer.reset();
    }
  }

  /** Writes a part and stops reading from the server until the client has consumed the part. */
  private void writePart(byte[] bytes) {
    handle.setAutoRead(false);
    write(HttpData.wrap(bytes));
    writer.whenConsumed().thenRun(this::readOn);
  }

  private boolean takeBuffer(int bytes) {
    boolean taken = buffers.tryTake(bytes);
    takenBytes += taken ? bytes : 0;
    return taken;
  }

  private void releaseBuffer() {
    buffers.release(takenBytes);
    takenBytes = 0;
  }

  private void readOn() {
    releaseBuffer();
    // After the end of the response the connection belongs to another request.
    if (!ended) {
      handle.setAutoRead(true);
    }
  }

  /**
   * Writes a part of the response unless the client has left, which the writer reports to the
   * exchange when it completes.
   */
  private void write(HttpObject part) {
    if (writer.isOpen()) {
      writer.write(part);
    }
  }

  /** Ends the response; a buffered one is written in full, with its length. */
  public void onComplete() {
    ended = true;
    if (!started) {
      byte[] bytes = buffer.toByteArray();
      var headers = headers();
      if (!head.status().isContentAlwaysEmpty() && !head.contains(HttpHeaderNames.CONTENT_LENGTH)) {
        headers.contentLength(bytes.length);
      }
      write(headers.build());
      if (bytes.length > 0) {
        write(HttpData.wrap(bytes));
      }
    }
    writer.close();
  }

  /** Aborts the client's connection, since the response will not be complete. */
  public void abort() {
    writer.close(
        new IllegalStateException(
            "the server's response is incomplete; aborting the client's response"));
  }

  private com.linecorp.armeria.common.ResponseHeadersBuilder headers() {
    var builder = head.toBuilder();
    if (closesConnection.getAsBoolean()) {
      builder.set(HttpHeaderNames.CONNECTION, "close");
    }
    return builder;
  }
}

package org.bambooarch.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;

/**
 * Handle of one request to one server, from the choice of a connection to the end of the response.
 *
 * <p>Used on the event loop only.
 */
public final class TargetRequestHandle {

  private ChannelFuture connecting;
  private long connectingNanos;
  private long openedNanos;
  private TargetConnection connection;
  private boolean cancelled;

  void onConnecting(ChannelFuture future, long nowNanos) {
    connecting = future;
    connectingNanos = nowNanos;
  }

  void onOpened(long nowNanos) {
    openedNanos = nowNanos;
  }

  /**
   * Returns the monotonic time at which a new connection was asked for, in nanoseconds; 0 if the
   * request uses one that was kept.
   */
  public long connectingNanos() {
    return connectingNanos;
  }

  /** Returns the monotonic time at which the new connection was open, in nanoseconds, or 0. */
  public long openedNanos() {
    return openedNanos;
  }

  void onConnectionReady(TargetConnection newConnection) {
    connection = newConnection;
  }

  void onConnectFailed(TargetResponseListener listener, boolean refused) {
    if (!cancelled) {
      listener.onUnreachable(refused);
    }
  }

  boolean isCancelled() {
    return cancelled;
  }

  /** Cancels the request; its listener receives no further event. */
  public void cancel() {
    cancelled = true;
    if (connection != null) {
      connection.cancel();
    } else if (connecting != null) {
      connecting.cancel(false);
    }
  }

  /** Sends a part of a streamed body; see {@link TargetConnection#sendBody}. */
  public void sendBody(ByteBuf part, Runnable written) {
    connection.sendBody(part, written);
  }

  /** Sends the end of a streamed body. */
  public void endBody() {
    connection.endBody();
  }

  /** Stops or resumes reading the response; does nothing while there is no connection. */
  public void setAutoRead(boolean read) {
    if (connection != null) {
      connection.setAutoRead(read);
    }
  }
}

package org.bambooarch.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;

/** One request at one server, from the search for a connection to the end of the answer. */
public final class TargetRequestHandle {

  private ChannelFuture connecting;
  private TargetConnection connection;
  private boolean cancelled;

  void onConnecting(ChannelFuture future) {
    connecting = future;
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

  /** Gives the request up; nothing more is heard of it. */
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

  /** Ends a streamed body. */
  public void endBody() {
    connection.endBody();
  }

  /** Stops or resumes reading the answer. */
  public void setAutoRead(boolean read) {
    if (connection != null) {
      connection.setAutoRead(read);
    }
  }
}

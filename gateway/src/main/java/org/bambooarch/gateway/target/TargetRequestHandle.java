package org.bambooarch.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;

/** One request at one server, from the search for a connection to the end of the answer. */
public final class TargetRequestHandle {

  private ChannelFuture connecting;
  private TargetConnection connection;
  private boolean abandoned;

  void onConnecting(ChannelFuture future) {
    connecting = future;
  }

  void onConnection(TargetConnection ready) {
    connection = ready;
  }

  void onConnectFailed(TargetResponseListener call, boolean refused) {
    if (!abandoned) {
      call.onUnreachable(refused);
    }
  }

  boolean isAbandoned() {
    return abandoned;
  }

  /** Gives the request up; nothing more is heard of it. */
  public void abandon() {
    abandoned = true;
    if (connection != null) {
      connection.abandon();
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
  public void readAnswers(boolean read) {
    if (connection != null) {
      connection.readAnswers(read);
    }
  }
}

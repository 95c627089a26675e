package org.bambooarch.entry.request.target;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.bambooarch.core.inventory.Server;

/** Tells the death of a server from the loss of one connection to it. */
final class ServerLivenessProbe {

  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  private ServerLivenessProbe() {}

  /** Returns whether the server takes no new connection; blocks for a short time. */
  static boolean isDown(Server server) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(server.host(), server.port()), CONNECT_TIMEOUT_MILLIS);
      return false;
    } catch (IOException e) {
      return true;
    }
  }
}

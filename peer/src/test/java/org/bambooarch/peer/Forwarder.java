package org.bambooarch.peer;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/** Forwards TCP connections and can make the open ones carry nothing while they stay open. */
final class Forwarder implements AutoCloseable {

  private final ServerSocket server;
  private final String host;
  private final int targetPort;
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private final Queue<AtomicBoolean> silentFlags = new ConcurrentLinkedQueue<>();

  private Forwarder(String host, int targetPort) throws IOException {
    this.server = new ServerSocket(0, 50, InetAddress.getByName(host));
    this.host = host;
    this.targetPort = targetPort;
  }

  static Forwarder to(String host, int targetPort) throws IOException {
    Forwarder forwarder = new Forwarder(host, targetPort);
    Thread.startVirtualThread(forwarder::accept);
    return forwarder;
  }

  int port() {
    return server.getLocalPort();
  }

  void silenceOpenConnections() {
    silentFlags.forEach(flag -> flag.set(true));
  }

  private void accept() {
    try {
      while (true) {
        Socket near = server.accept();
        Socket far = new Socket(host, targetPort);
        AtomicBoolean silent = new AtomicBoolean();
        sockets.add(near);
        sockets.add(far);
        silentFlags.add(silent);
        Thread.startVirtualThread(() -> pump(near, far, silent));
        Thread.startVirtualThread(() -> pump(far, near, silent));
      }
    } catch (IOException e) {
      // The test has closed the forwarder.
    }
  }

  private static void pump(Socket from, Socket to, AtomicBoolean silent) {
    byte[] buffer = new byte[4096];
    try {
      InputStream in = from.getInputStream();
      for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
        if (!silent.get()) {
          to.getOutputStream().write(buffer, 0, length);
        }
      }
    } catch (IOException e) {
      // One side has ended.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}

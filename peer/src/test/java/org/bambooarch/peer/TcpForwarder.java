package org.bambooarch.peer;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Forwards TCP connections to a port, and can stall the open ones: they stay open, but all data
 * that they receive is discarded.
 */
final class TcpForwarder implements AutoCloseable {

  private final ServerSocket server;
  private final String host;
  private final int targetPort;
  private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
  private final Queue<AtomicBoolean> stalledFlags = new ConcurrentLinkedQueue<>();

  private TcpForwarder(String host, int targetPort) throws IOException {
    this.server = new ServerSocket(0, 50, InetAddress.getByName(host));
    this.host = host;
    this.targetPort = targetPort;
  }

  static TcpForwarder to(String host, int targetPort) throws IOException {
    TcpForwarder forwarder = new TcpForwarder(host, targetPort);
    Thread.startVirtualThread(forwarder::accept);
    return forwarder;
  }

  int port() {
    return server.getLocalPort();
  }

  void stallOpenConnections() {
    stalledFlags.forEach(flag -> flag.set(true));
  }

  private void accept() {
    try {
      while (true) {
        Socket clientSide = server.accept();
        Socket serverSide = new Socket(host, targetPort);
        AtomicBoolean stalled = new AtomicBoolean();
        sockets.add(clientSide);
        sockets.add(serverSide);
        stalledFlags.add(stalled);
        Thread.startVirtualThread(() -> relay(clientSide, serverSide, stalled));
        Thread.startVirtualThread(() -> relay(serverSide, clientSide, stalled));
      }
    } catch (IOException e) {
      // The test closed the forwarder.
    }
  }

  private static void relay(Socket from, Socket to, AtomicBoolean stalled) {
    byte[] buffer = new byte[4096];
    try {
      InputStream in = from.getInputStream();
      for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
        if (!stalled.get()) {
          to.getOutputStream().write(buffer, 0, length);
        }
      }
    } catch (IOException e) {
      // One side was closed.
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

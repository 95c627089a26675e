package org.bambooarch.entry.request;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A target process that dies of the first request that reaches it. */
final class DyingTarget implements AutoCloseable {

  private final ServerSocket listener;
  private volatile boolean died;

  DyingTarget(String host) throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getByName(host));
    Thread.startVirtualThread(this::dieOfFirstRequest);
  }

  int port() {
    return listener.getLocalPort();
  }

  boolean died() {
    return died;
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  private void dieOfFirstRequest() {
    try (Socket connection = listener.accept()) {
      boolean gotRequest = connection.getInputStream().read() >= 0;
      listener.close();
      died = gotRequest;
    } catch (IOException e) {
      died = false;
    }
  }
}

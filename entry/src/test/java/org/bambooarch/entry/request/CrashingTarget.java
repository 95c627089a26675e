package org.bambooarch.entry.request;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A target process that dies of the first request that reaches it. */
final class CrashingTarget implements AutoCloseable {

  private final ServerSocket listener;
  private volatile boolean hasCrashed;

  CrashingTarget(String host) throws IOException {
    listener = new ServerSocket(0, 50, InetAddress.getByName(host));
    Thread.startVirtualThread(this::crashOnFirstRequest);
  }

  int port() {
    return listener.getLocalPort();
  }

  boolean hasCrashed() {
    return hasCrashed;
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  private void crashOnFirstRequest() {
    try (Socket connection = listener.accept()) {
      boolean gotRequest = connection.getInputStream().read() >= 0;
      listener.close();
      hasCrashed = gotRequest;
    } catch (IOException e) {
      hasCrashed = false;
    }
  }
}

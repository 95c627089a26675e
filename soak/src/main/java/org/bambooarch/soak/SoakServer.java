package org.bambooarch.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.tinylog.Logger;

/** One start of a server: a listener with slots and a queue, whose answers follow the schedule. */
final class SoakServer implements AutoCloseable {

  /** Requests that a server processes at the same time. */
  static final int SLOTS = 4;

  /** Requests that wait for a slot before the server refuses more. */
  private static final int MAX_WAITING = 12;

  /** What all servers of a run share. */
  record Environment(
      Journal journal,
      FaultSchedule faults,
      RunClock clock,
      double meanWorkMillis,
      AtomicLong connections,
      AtomicLong seals,
      LongAdder healthChecks) {}

  private final String id;
  private final String service;
  private final String zone;
  private final Environment environment;
  private final Random seeds;
  private final double speed;
  private final ServerSocket listener = new ServerSocket();
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private final AtomicInteger waiting = new AtomicInteger();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final long bornUnixMillis = System.currentTimeMillis();
  private volatile boolean closed;

  /** Opens the listener; port 0 means a free port. */
  SoakServer(
      String id,
      String service,
      String zone,
      InetSocketAddress address,
      long seed,
      Environment environment)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.environment = environment;
    seeds = new Random(seed);
    speed = 0.5 + seeds.nextDouble() * 1.5;
    listener.setReuseAddress(true);
    listener.bind(address, 400);
    Thread.ofVirtual().start(this::accept);
  }

  String id() {
    return id;
  }

  String service() {
    return service;
  }

  String zone() {
    return zone;
  }

  InetSocketAddress address() {
    InetAddress ip = listener.getInetAddress();
    return new InetSocketAddress(ip, listener.getLocalPort());
  }

  /** Returns the value of the server's row in the store. */
  String row() {
    return rowWith("ready");
  }

  /** Returns the value of the row of a server that is about to stop. */
  String leavingRow() {
    return rowWith("draining");
  }

  private String rowWith(String state) {
    return Templates.fill(
        "server-row.json",
        listener.getInetAddress().getHostAddress(),
        listener.getLocalPort(),
        bornUnixMillis,
        service,
        zone,
        SLOTS,
        state);
  }

  Environment environment() {
    return environment;
  }

  /** Returns the time that a request takes once it has a slot, in milliseconds. */
  long workMillis(Random random) {
    double mean = environment.meanWorkMillis() / speed;
    return Math.max(1, Math.round(-mean * Math.log(1 - random.nextDouble())));
  }

  /**
   * Waits for a slot.
   *
   * @return false if the queue is full or the deadline has passed
   */
  boolean acquireSlot(long deadlineNanos) throws InterruptedException {
    if (slots.tryAcquire()) {
      return true;
    }
    if (waiting.incrementAndGet() > MAX_WAITING) {
      waiting.decrementAndGet();
      return false;
    }
    try {
      return slots.tryAcquire(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
    } finally {
      waiting.decrementAndGet();
    }
  }

  void releaseSlot() {
    slots.release();
  }

  /** Returns the load that responses state: running and waiting requests, and slots. */
  String load() {
    return (SLOTS - slots.availablePermits()) + "," + waiting.get() + "," + SLOTS;
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        long seed = seeds.nextLong();
        Thread.ofVirtual().start(() -> serve(socket, seed));
      } catch (IOException e) {
        if (!closed) {
          Logger.warn(e, "event=accept-failed server={}", id);
        }
      }
    }
  }

  private void serve(Socket socket, long seed) {
    try (socket) {
      new ServerConnection(this, socket, new Random(seed)).run();
    } catch (IOException e) {
      // Callers close and reset connections throughout a run.
      Logger.debug("event=connection-ended server={} cause={}", id, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  /** Ends the server as a killed process: closes its port and all connections. */
  void kill(boolean withReset) {
    closed = true;
    try {
      listener.close();
      for (Socket socket : sockets) {
        if (withReset) {
          socket.setSoLinger(true, 0);
        }
        socket.close();
      }
    } catch (IOException e) {
      Logger.debug("event=close-failed server={} cause={}", id, e);
    }
  }

  @Override
  public void close() {
    kill(false);
  }
}

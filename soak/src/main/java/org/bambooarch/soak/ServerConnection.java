package org.bambooarch.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.bambooarch.platform.fake.WireNames;
import org.tinylog.Logger;

/** A connection to a server, which serves one request at a time on it. */
final class ServerConnection {

  /** Share of requests that a server answers with an error of its own. */
  private static final double ERROR_SHARE = 0.004;

  /** Shortest body, in bytes, that an early answer does not wait for. */
  private static final int LONG_BODY_BYTES = 32_768;

  /** Deadline of a request without one, in milliseconds. */
  private static final long DEFAULT_DEADLINE_MILLIS = 5_000;

  /** Pause between the parts of a head, in milliseconds. */
  private static final long PART_PAUSE_MILLIS = 5;

  /** Latest moment of a second answer that waits for no request, in milliseconds. */
  private static final int MAX_SECOND_DELAY_MILLIS = 300;

  /** An answer with the bytes of its head and its body. */
  private record Message(ServerRun.Answer answer, byte[] head, byte[] body) {

    byte[] bytes() {
      return Messages.join(head, body);
    }
  }

  private record PendingSecond(ServerRun run, byte[] bytes) {}

  private final SoakServer server;
  private final SoakServer.Environment environment;
  private final Socket socket;
  private final OutputStream out;
  private final MessageReader reader;
  private final Random random;
  private final long number;
  private int order;
  private PendingSecond beforeNext;

  ServerConnection(SoakServer server, Socket socket, Random random) throws IOException {
    this.server = server;
    this.environment = server.environment();
    this.socket = socket;
    this.random = random;
    out = socket.getOutputStream();
    reader = new MessageReader(socket.getInputStream());
    number = environment.connections().incrementAndGet();
  }

  /** Serves requests until the connection ends. */
  void run() throws IOException, InterruptedException {
    boolean open = true;
    while (open) {
      socket.setSoTimeout(2_000 + random.nextInt(4_000));
      MessageReader.Head head;
      try {
        head = reader.readHead();
      } catch (SocketTimeoutException e) {
        return;
      }
      if (head == null) {
        return;
      }
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(20));
      open = serve(head);
    }
  }

  private boolean serve(MessageReader.Head head) throws IOException, InterruptedException {
    final long receivedNanos = System.nanoTime();
    long deadlineMillis =
        head.header("Deadline-Ms").isEmpty()
            ? DEFAULT_DEADLINE_MILLIS
            : Long.parseLong(head.header("Deadline-Ms"));
    long deadlineNanos = receivedNanos + TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
    Fault fault = environment.faults().draw(environment.clock().progress(), random);
    boolean early = fault == Fault.EARLY && head.lengthBytes() >= LONG_BODY_BYTES;
    if (!early) {
      reader.readBody(head, false, new ByteArrayOutputStream());
    }
    if (head.startLine().startsWith("GET /health ")) {
      environment.healthChecks().increment();
      return serveHealth(deadlineNanos);
    }
    order++;
    String expected = head.header(WireNames.EXPECTED_SERVER);
    if (!expected.isEmpty() && !expected.equals(server.id())) {
      return answer(decide(head, 421, false, fault, receivedNanos));
    }
    if (!server.acquireSlot(deadlineNanos)) {
      return answer(decide(head, 503, false, fault, receivedNanos));
    }
    Exchange exchange;
    try {
      long workMillis = early ? 1 : server.workMillis(random);
      long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
      int status = random.nextDouble() < ERROR_SHARE ? 500 : 200;
      if (workMillis > leftMillis) {
        status = 504;
        workMillis = Math.max(0, leftMillis);
      }
      exchange = decide(head, status, true, fault, receivedNanos);
      Thread.sleep(workMillis);
    } finally {
      server.releaseSlot();
    }
    boolean open = answer(exchange);
    if (early) {
      reader.readBody(head, false, new ByteArrayOutputStream());
    }
    return open;
  }

  private boolean serveHealth(long deadlineNanos) throws IOException, InterruptedException {
    boolean healthy = server.acquireSlot(deadlineNanos);
    if (healthy) {
      server.releaseSlot();
    }
    write(
        Messages.bytes(
            "HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n"
                .formatted(
                    healthy ? "200 OK" : "503 Full",
                    WireNames.SERVER_ID,
                    server.id(),
                    WireNames.LOAD,
                    server.load(),
                    healthy ? "" : WireNames.NOT_RUN + ": 1\r\n")));
    return true;
  }

  private record Exchange(ServerRun run, Message first, Message second) {}

  private Exchange decide(
      MessageReader.Head head, int status, boolean executed, Fault fault, long receivedNanos) {
    String requestId = head.header("Request-Id");
    boolean framed =
        switch (fault) {
          case WITHOUT_LENGTH, WITHOUT_LENGTH_CUT_BY_FIN, WITHOUT_LENGTH_RESET -> false;
          default -> true;
        };
    Message first = message(requestId, status, !executed, framed, fault);
    Message second =
        switch (fault.second()) {
          case NONE -> null;
          case SAME_STATUS -> first;
          case OTHER_STATUS -> {
            boolean refusal = status == 200 && random.nextBoolean();
            int other = status == 200 ? (refusal ? 503 : 500) : 200;
            yield message(requestId, other, refusal, true, Fault.NONE);
          }
        };
    String attempt = head.header(ClientWorker.ATTEMPT_HEADER);
    ServerRun run =
        new ServerRun(
            requestId,
            attempt.isEmpty() ? 0 : Integer.parseInt(attempt),
            server.id(),
            number,
            order,
            executed,
            server.service(),
            PlayedDeployment.regionOf(server.zone()),
            Messages.firstSegment(head.startLine()),
            head.header(ClientWorker.CUSTOMER_HEADER),
            head.header(ClientWorker.SENT_HEADER).isEmpty()
                ? 0
                : Long.parseLong(head.header(ClientWorker.SENT_HEADER)),
            !head.startLine().contains(" /" + PlayedDeployment.UNSAFE_PREFIX),
            first.answer(),
            second == null ? null : second.answer(),
            fault,
            receivedNanos,
            new AtomicLong(),
            new AtomicLong());
    environment.journal().add(run);
    return new Exchange(run, first, second);
  }

  private Message message(
      String requestId, int status, boolean refusal, boolean framed, Fault fault) {
    int length = random.nextInt(40) == 0 ? 60_000 : 20 + random.nextInt(2_000);
    byte[] body = Messages.randomBody(refusal ? 0 : length, random);
    String hash = Messages.hash(body);
    String seal =
        "%s.%x.%d.%d.%s"
            .formatted(
                server.id(), environment.seals().incrementAndGet(), status, body.length, hash);
    StringBuilder head = new StringBuilder();
    head.append("HTTP/1.1 ").append(status).append(" X\r\nRequest-Id: ").append(requestId);
    head.append("\r\n" + WireNames.SERVER_MARK + ": ").append(seal);
    head.append("\r\n" + WireNames.LOAD + ": ").append(server.load()).append("\r\n");
    if (refusal) {
      head.append(WireNames.NOT_RUN + ": 1\r\n");
    }
    if (fault == Fault.CONNECTION_CLOSE) {
      head.append("Connection: close\r\n");
    }
    if (framed) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    head.append("\r\n");
    ServerRun.Answer answer = new ServerRun.Answer(status, seal, body.length, hash);
    return new Message(answer, Messages.bytes(head.toString()), body);
  }

  /** Writes the answer, with its fault; returns whether the connection stays open. */
  private boolean answer(Exchange exchange) throws IOException, InterruptedException {
    writePendingSecond();
    ServerRun run = exchange.run();
    byte[] bytes = exchange.first().bytes();
    int headLength = exchange.first().head().length;
    boolean open =
        switch (run.fault()) {
          case NONE, EARLY -> {
            write(bytes);
            yield true;
          }
          case SECOND_AT_ONCE, SECOND_AT_ONCE_OTHER_STATUS -> {
            write(Messages.join(bytes, exchange.second().bytes()));
            run.secondWrittenNanos().set(System.nanoTime());
            yield true;
          }
          case SECOND_BEFORE_NEXT, SECOND_BEFORE_NEXT_OTHER_STATUS -> {
            write(bytes);
            beforeNext = new PendingSecond(run, exchange.second().bytes());
            yield true;
          }
          case SECOND_LATER, SECOND_LATER_OTHER_STATUS -> {
            write(bytes);
            writeLater(new PendingSecond(run, exchange.second().bytes()));
            yield true;
          }
          case WITHOUT_LENGTH, CONNECTION_CLOSE -> {
            write(bytes);
            yield false;
          }
          case WITHOUT_LENGTH_CUT_BY_FIN, TRUNCATED -> {
            write(Arrays.copyOf(bytes, headLength + (bytes.length - headLength) / 2));
            yield false;
          }
          case WITHOUT_LENGTH_RESET -> {
            write(Arrays.copyOf(bytes, headLength + (bytes.length - headLength) / 2));
            Thread.sleep(PART_PAUSE_MILLIS);
            socket.setSoLinger(true, 0);
            yield false;
          }
          case GARBAGE -> {
            write(Messages.randomBody(200, random));
            yield random.nextBoolean();
          }
          case LOST_WITH_RESET -> {
            socket.setSoLinger(true, 0);
            yield false;
          }
          case HEAD_IN_PARTS -> {
            int cut = 1 + random.nextInt(headLength - 1);
            write(Arrays.copyOf(bytes, cut));
            Thread.sleep(PART_PAUSE_MILLIS);
            write(Arrays.copyOfRange(bytes, cut, bytes.length));
            yield true;
          }
          case AFTER_INFORMATIONAL -> {
            write(Messages.bytes("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"));
            write(bytes);
            yield true;
          }
        };
    run.writtenNanos().set(System.nanoTime());
    return open;
  }

  private void writePendingSecond() throws IOException {
    PendingSecond pending = beforeNext;
    if (pending != null) {
      beforeNext = null;
      writeSecond(pending);
    }
  }

  private void writeLater(PendingSecond pending) {
    int delayMillis = 1 + random.nextInt(MAX_SECOND_DELAY_MILLIS);
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                Thread.sleep(delayMillis);
                writeSecond(pending);
              } catch (IOException e) {
                Logger.debug("event=second-answer-lost server={} cause={}", server.id(), e);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }

  private void writeSecond(PendingSecond pending) throws IOException {
    write(pending.bytes());
    pending.run().secondWrittenNanos().set(System.nanoTime());
  }

  private void write(byte[] bytes) throws IOException {
    synchronized (out) {
      out.write(bytes);
      out.flush();
    }
  }
}

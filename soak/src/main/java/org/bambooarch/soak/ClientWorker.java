package org.bambooarch.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.tinylog.Logger;

/** One client: sends requests at its own rate, leaves some early and retries after failures. */
final class ClientWorker implements Runnable {

  /** Header that states the number of the attempt, since attempts may share their id. */
  static final String ATTEMPT_HEADER = "Client-Attempt";

  /** Header that states the steady clock when the client began to send the attempt. */
  static final String SENT_HEADER = "Client-Sent-Nanos";

  /** Header that states the name of the customer. */
  static final String CUSTOMER_HEADER = "Client-Customer";

  /** Share of requests whose client leaves early. */
  private static final double LEAVE_SHARE = 0.2;

  /** Share of new connections that carry one request only. */
  private static final double SINGLE_USE_SHARE = 0.3;

  /** Share of turns that send several safe requests before reading the first answer. */
  private static final double PIPELINE_SHARE = 0.06;

  private static final double UNSAFE_SHARE = 0.35;
  private static final int MAX_ATTEMPTS = 3;

  /** What all clients of a run share. */
  record Environment(
      Journal journal,
      InstanceGroup instances,
      RunClock clock,
      double meanPauseMillis,
      boolean sameIds,
      AtomicLong connections,
      LongAdder left,
      LongAdder connectsFailed) {}

  private final Environment environment;
  private final Random random;
  private final ClientRequestMix mix;
  private final InstanceChoice choice;
  private CallerConnection connection;
  private InstanceGroup.Instance instance;
  private int usesLeft;

  ClientWorker(Environment environment, String zone, long seed) {
    this.environment = environment;
    random = new Random(seed);
    mix = ClientRequestMix.of(PlayedDeployment.regionOf(zone), random);
    LookupClient lookups =
        new LookupClient(environment.instances(), environment.journal(), mix.host(), zone, random);
    choice = new InstanceChoice(environment.instances(), lookups, random);
  }

  @Override
  public void run() {
    long nextNanos = System.nanoTime();
    try {
      while (!environment.clock().isOver()) {
        double pauseMillis = -environment.meanPauseMillis() * Math.log(1 - random.nextDouble());
        nextNanos += (long) (pauseMillis * 1e6);
        TimeUnit.NANOSECONDS.sleep(nextNanos - System.nanoTime());
        if (random.nextDouble() < PIPELINE_SHARE) {
          pipeline(2 + random.nextInt(3));
        } else {
          request();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      closeConnection();
    }
  }

  private void request() throws InterruptedException {
    ClientRequestMix.Request request = mix.next(random.nextDouble() < UNSAFE_SHARE);
    String id = nextId();
    for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      if (attempt > 1) {
        closeConnection();
        id = environment.sameIds() ? id : nextId();
      }
      ClientAnswer answer = attempt(request, id, attempt);
      if (answer == null || !mayRetry(answer)) {
        return;
      }
      Thread.sleep(random.nextInt(100));
    }
  }

  /**
   * Returns the answer, or null if the client got no connection or has left; one that keeps its ids
   * may try again after it has left.
   */
  private ClientAnswer attempt(ClientRequestMix.Request request, String id, int attempt) {
    try {
      open();
      CallerConnection.Sent sent =
          connection.send(id, attempt, request.repeatable(), bytes(request, id, attempt));
      noteHomed(request, sent);
      if (random.nextDouble() < LEAVE_SHARE) {
        ClientAnswer left = leave(sent);
        return environment.sameIds() ? left : null;
      }
      ClientAnswer answer = connection.read(sent, request.deadlineMillis() + 1_000);
      environment.journal().add(answer);
      if (answer.status() == 0) {
        choice.onFailed(instance);
      }
      finishUse();
      return answer;
    } catch (IOException e) {
      Logger.debug("event=attempt-failed request={} cause={}", id, e);
      environment.connectsFailed().increment();
      closeConnection();
      return null;
    }
  }

  private void noteHomed(ClientRequestMix.Request request, CallerConnection.Sent sent) {
    if (request.homed()) {
      environment
          .journal()
          .add(
              new HomedRequest(
                  request.route(),
                  choice.clientRegion(),
                  instance.name(),
                  instance.region(),
                  choice.lookup(),
                  sent.sentNanos()));
    }
  }

  private ClientAnswer leave(CallerConnection.Sent sent) throws IOException {
    environment.left().increment();
    ClientAnswer answer = connection.read(sent, 1 + random.nextInt(200));
    environment.journal().add(answer);
    if (random.nextBoolean()) {
      connection.reset();
    }
    closeConnection();
    return answer;
  }

  private void pipeline(int requests) {
    try {
      open();
      List<CallerConnection.Sent> sent = new ArrayList<>();
      ClientRequestMix.Request request = mix.next(false);
      for (int i = 0; i < requests; i++) {
        String id = nextId();
        sent.add(connection.send(id, 1, true, bytes(request, id, 1)));
        noteHomed(request, sent.getLast());
      }
      for (CallerConnection.Sent each : sent) {
        environment.journal().add(connection.read(each, request.deadlineMillis() + 1_000));
        if (!connection.isOpen()) {
          break;
        }
      }
      finishUse();
    } catch (IOException e) {
      Logger.debug("event=pipeline-failed cause={}", e);
      environment.connectsFailed().increment();
      closeConnection();
    }
  }

  private static boolean mayRetry(ClientAnswer answer) {
    if (answer.isRefusal()) {
      return true;
    }
    boolean failed = !answer.complete() || answer.status() >= 500;
    return answer.repeatable() && failed;
  }

  private static byte[] bytes(ClientRequestMix.Request request, String id, int attempt) {
    String head =
        """
        %s %s HTTP/1.1
        Host: %s
        Request-Id: %s
        Deadline-Ms: %d
        Credential: %s
        %s: %d
        %s: %d
        %s: %s
        Content-Length: %d

        """
            .formatted(
                request.body().length > 0 ? "POST" : "GET",
                request.target(),
                request.host(),
                id,
                request.deadlineMillis(),
                request.customer().apiKey(),
                ATTEMPT_HEADER,
                attempt,
                SENT_HEADER,
                System.nanoTime(),
                CUSTOMER_HEADER,
                request.customer().name(),
                request.body().length);
    return Messages.join(Messages.bytes(head.replace("\n", "\r\n")), request.body());
  }

  private String nextId() {
    return "%016x".formatted(random.nextLong());
  }

  private void open() throws IOException {
    choice.refresh();
    if (connection != null && (!connection.isOpen() || !choice.isNamed(instance))) {
      closeConnection();
    }
    if (connection != null) {
      return;
    }
    instance = choice.pick();
    try {
      connection =
          new CallerConnection(
              instance.name(), instance.front(), environment.connections().incrementAndGet());
    } catch (IOException e) {
      choice.onFailed(instance);
      throw e;
    }
    usesLeft = random.nextDouble() < SINGLE_USE_SHARE ? 1 : 2 + random.nextInt(20);
  }

  private void finishUse() {
    usesLeft--;
    if (usesLeft <= 0) {
      closeConnection();
    }
  }

  private void closeConnection() {
    if (connection == null) {
      return;
    }
    try (CallerConnection closing = connection) {
      ClientAnswer last = closing.unaskedAfter();
      if (last != null) {
        environment.journal().addUnasked(last);
      }
    } catch (IOException e) {
      Logger.debug("event=close-failed cause={}", e);
    }
    connection = null;
  }
}

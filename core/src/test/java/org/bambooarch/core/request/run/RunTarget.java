package org.bambooarch.core.request.run;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.bambooarch.core.request.header.HeaderField;
import org.bambooarch.core.request.header.HeaderRules;

/** A server that dies of some requests and loses, crosses, cuts or delays some answers. */
final class RunTarget {

  /** What came back over the connection. */
  sealed interface Reply {

    record Answer(String echoedId, OptionalLong contentLength, String body) implements Reply {}

    record Refused() implements Reply {}

    record Shed() implements Reply {}

    record ConnectionLost(boolean targetDied) implements Reply {}
  }

  private static final long RESTART_NANOS = 2_000 * RunWorld.MILLI;

  final String name;
  private final RunWorld world;
  private long deadUntilNanos;
  private long deaths;

  RunTarget(String name, RunWorld world) {
    this.name = name;
    this.world = world;
  }

  void receive(
      RunSend send,
      List<HeaderField> headers,
      BooleanSupplier senderIsWell,
      Consumer<Reply> whenDone) {
    if (isDead()) {
      whenDone.accept(new Reply.Refused());
      return;
    }
    if (world.chance(0.03)) {
      whenDone.accept(new Reply.Shed());
      return;
    }
    world.onExecution(send, headers.stream().map(HeaderField::value).toList());
    if (send.request().crashes()) {
      world.after(world.millis(5, 60), () -> crash(send, senderIsWell, whenDone));
      return;
    }
    long deathsBefore = deaths;
    long serviceNanos = world.chance(0.05) ? world.millis(500, 6_000) : world.millis(5, 60);
    String requestId = header(headers, HeaderRules.REQUEST_ID);
    world.after(serviceNanos, () -> whenDone.accept(reply(send, requestId, deathsBefore)));
  }

  private void crash(RunSend send, BooleanSupplier senderIsWell, Consumer<Reply> whenDone) {
    die();
    if (senderIsWell.getAsBoolean()) {
      world.onKill(send, name);
    } else {
      world.count("unseen-death");
    }
    whenDone.accept(new Reply.ConnectionLost(true));
  }

  void die() {
    deaths++;
    deadUntilNanos = world.clock.monotonicNanos() + RESTART_NANOS;
  }

  private boolean isDead() {
    return world.clock.monotonicNanos() - deadUntilNanos < 0;
  }

  private Reply reply(RunSend send, String requestId, long deathsBefore) {
    if (deaths > deathsBefore) {
      return new Reply.ConnectionLost(true);
    }
    String body = send.request().expectedBody();
    OptionalLong length = OptionalLong.of(body.length());
    if (world.chance(0.02)) {
      return new Reply.ConnectionLost(false);
    }
    if (world.chance(0.02)) {
      return new Reply.Answer("foreign-id", OptionalLong.of(7), "foreign");
    }
    if (world.chance(0.02)) {
      return new Reply.Answer(requestId, length, body.substring(0, 5));
    }
    return new Reply.Answer(requestId, length, body);
  }

  private static String header(List<HeaderField> headers, String name) {
    return headers.stream()
        .filter(field -> field.name().equals(name))
        .map(HeaderField::value)
        .findFirst()
        .orElse("");
  }
}

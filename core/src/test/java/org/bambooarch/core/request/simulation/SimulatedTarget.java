package org.bambooarch.core.request.simulation;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.bambooarch.core.request.header.HeaderField;
import org.bambooarch.core.request.header.HeaderRules;

/**
 * A server that crashes on some requests, and loses, misdirects, truncates or delays some
 * responses.
 */
final class SimulatedTarget {

  /** What the instance receives over the connection. */
  sealed interface Reply {

    record Response(String echoedId, OptionalLong contentLength, String body) implements Reply {}

    record ConnectionRefused() implements Reply {}

    record Shed() implements Reply {}

    record ConnectionLost(boolean targetCrashed) implements Reply {}
  }

  private static final long RESTART_DELAY_NANOS = 2_000 * SimulationContext.NANOS_PER_MILLI;

  final String name;
  private final SimulationContext context;
  private long downUntilNanos;
  private long crashCount;

  SimulatedTarget(String name, SimulationContext context) {
    this.name = name;
    this.context = context;
  }

  void receive(
      CallerAttempt attempt,
      List<HeaderField> headers,
      BooleanSupplier senderCanReportCrash,
      Consumer<Reply> whenDone) {
    if (isDown()) {
      whenDone.accept(new Reply.ConnectionRefused());
      return;
    }
    if (context.chance(0.03)) {
      whenDone.accept(new Reply.Shed());
      return;
    }
    context.onExecution(attempt, headers.stream().map(HeaderField::value).toList());
    if (attempt.request().crashesTarget()) {
      context.schedule(
          context.randomDelayNanos(5, 60),
          () -> crashAfterRequest(attempt, senderCanReportCrash, whenDone));
      return;
    }
    long crashCountBefore = crashCount;
    long serviceNanos =
        context.chance(0.05)
            ? context.randomDelayNanos(500, 6_000)
            : context.randomDelayNanos(5, 60);
    String requestId = header(headers, HeaderRules.REQUEST_ID);
    context.schedule(
        serviceNanos, () -> whenDone.accept(reply(attempt, requestId, crashCountBefore)));
  }

  private void crashAfterRequest(
      CallerAttempt attempt, BooleanSupplier senderCanReportCrash, Consumer<Reply> whenDone) {
    crash();
    if (senderCanReportCrash.getAsBoolean()) {
      context.onServerCrash(attempt, name);
    } else {
      context.count("unreported-crash");
    }
    whenDone.accept(new Reply.ConnectionLost(true));
  }

  void crash() {
    crashCount++;
    downUntilNanos = context.clock.monotonicNanos() + RESTART_DELAY_NANOS;
  }

  private boolean isDown() {
    return context.clock.monotonicNanos() - downUntilNanos < 0;
  }

  private Reply reply(CallerAttempt attempt, String requestId, long crashCountBefore) {
    if (crashCount > crashCountBefore) {
      return new Reply.ConnectionLost(true);
    }
    String body = attempt.request().expectedBody();
    OptionalLong length = OptionalLong.of(body.length());
    if (context.chance(0.02)) {
      return new Reply.ConnectionLost(false);
    }
    if (context.chance(0.02)) {
      return new Reply.Response("foreign-id", OptionalLong.of(7), "foreign");
    }
    if (context.chance(0.02)) {
      return new Reply.Response(requestId, length, body.substring(0, 5));
    }
    return new Reply.Response(requestId, length, body);
  }

  private static String header(List<HeaderField> headers, String name) {
    return headers.stream()
        .filter(field -> field.name().equals(name))
        .map(HeaderField::value)
        .findFirst()
        .orElse("");
  }
}

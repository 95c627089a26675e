package org.bambooarch.gateway.target;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.time.Clock;

/**
 * Decides, each time that one request is about to be written to a server, whether it may still be
 * sent.
 *
 * <p>It first lets the event loop process all events that have arrived, among which may be the end
 * of the client's connection or the request's deadline. Used on the event loop only.
 */
public final class SendGate {

  /**
   * Longest turn of the event loop after which the events that arrived during it are processed as
   * well before anything is sent: 250 ms. In an overloaded process each turn costs the requests
   * their time, and servers may work for half a second for a client that has left.
   */
  private static final long MAX_TURN_NANOS = 250_000_000L;

  /**
   * Most turns that a request waits for. If the event loop is busy for longer than {@link
   * #MAX_TURN_NANOS} in each turn, requests must go on nevertheless.
   */
  private static final int MAX_TURNS = 2;

  /**
   * A request is sent only if the time until its deadline exceeds this fraction of the time that a
   * server needs, or of the time that the client waits if that is shorter.
   */
  private static final double MIN_REMAINING_TIME_FRACTION = 0.5;

  /** What prevents a request from being sent. */
  public enum Refusal {
    /** The client has left, or the request has ended for another reason. */
    ENDED,
    /** A server could not respond before the deadline. */
    TOO_LATE,
    /** The request must not run, or not through this instance. */
    FORBIDDEN
  }

  /** The request, as far as the gate asks about it. */
  public interface Owner {

    /** Returns whether the client has left, or the request has ended for another reason. */
    boolean isFinished();

    /** Returns how long a server typically needs for the request, in nanoseconds; 0 if unknown. */
    double serviceNanos();

    /** Returns whether the request may run at all. */
    boolean mayRun();

    /** Called when the request is not sent. For {@link Refusal#ENDED} nothing is left to do. */
    void onRefused(Refusal refusal);
  }

  private final EventLoop loop;
  private final Clock clock;
  private final RequestTime time;
  private final Owner owner;

  /** Creates the gate of one request. */
  public SendGate(EventLoop loop, Clock clock, RequestTime time, Owner owner) {
    this.loop = loop;
    this.clock = clock;
    this.time = time;
    this.owner = owner;
  }

  /**
   * Lets the event loop process what has arrived, and then either sends the request or reports to
   * the owner why it must not be sent.
   *
   * @param send sends the request at once
   * @param notSent called before the owner if the request must not be sent
   */
  public void pass(Runnable send, Runnable notSent) {
    // A task that an event schedules would run in the same turn, before the next events are read.
    loop.execute(() -> await(send, notSent, MAX_TURNS));
  }

  private void await(Runnable send, Runnable notSent, int turnsLeft) {
    long startNanos = clock.monotonicNanos();
    loop.schedule(
        () -> {
          long turnNanos = clock.monotonicNanos() - startNanos;
          if (turnNanos > MAX_TURN_NANOS && turnsLeft > 1 && !owner.isFinished()) {
            await(send, notSent, turnsLeft - 1);
          } else {
            decide(send, notSent);
          }
        },
        0,
        TimeUnit.NANOSECONDS);
  }

  private void decide(Runnable send, Runnable notSent) {
    if (owner.isFinished()) {
      refuse(Refusal.ENDED, notSent);
    } else if (!hasEnoughTime()) {
      refuse(Refusal.TOO_LATE, notSent);
    } else if (!owner.mayRun()) {
      refuse(Refusal.FORBIDDEN, notSent);
    } else {
      send.run();
    }
  }

  private void refuse(Refusal refusal, Runnable notSent) {
    notSent.run();
    owner.onRefused(refusal);
  }

  /** Returns whether a server could respond before the deadline. */
  public boolean hasEnoughTime() {
    double neededNanos = Math.min(owner.serviceNanos(), time.timeoutNanos());
    return time.remainingNanos(clock) > neededNanos * MIN_REMAINING_TIME_FRACTION;
  }
}

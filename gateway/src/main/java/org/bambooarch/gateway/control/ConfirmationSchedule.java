package org.bambooarch.gateway.control;

import java.util.List;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.ListStatus;
import org.bambooarch.core.steering.hash.Hashes;
import org.bambooarch.gateway.spi.Topic;

/**
 * Decides when an instance asks the store whether its list is still the newest.
 *
 * <p>What one instance learns confirms the lists of the others, so the instances take turns: one of
 * them asks early, a different one each time. The others ask only if they do not hear from it in
 * time, early enough for several calls of their own before the bound.
 *
 * <p>Used on the event loop only.
 */
final class ConfirmationSchedule {

  /** Age at which the first instance asks, as a fraction of the bound. */
  private static final double FIRST_FRACTION = 0.25;

  /** Age at which all others ask, as a fraction of the bound. */
  private static final double LAST_FRACTION = 0.4;

  /**
   * Time for which others have known more before the instance asks, in nanoseconds: 0.2 s. Its own
   * call that waits for changes is about to return if the response to it is not lost.
   */
  private static final long BEHIND_NANOS = 200_000_000L;

  private final Topic topic;
  private final ControlState state;
  private final long firstNanos;
  private final long lastNanos;

  /**
   * Creates the schedule of a list.
   *
   * @param boundMillis longest age at which the list may be used, in milliseconds
   */
  ConfirmationSchedule(Topic topic, ControlState state, long boundMillis) {
    this.topic = topic;
    this.state = state;
    this.firstNanos = (long) (boundMillis * FIRST_FRACTION * 1_000_000L);
    this.lastNanos = (long) (boundMillis * LAST_FRACTION * 1_000_000L);
  }

  /** Returns whether to ask the store now, unless a call that was just made is to be awaited. */
  boolean isDue(long nowNanos) {
    long ageNanos = state.listAgeNanos(topic);
    long behindNanos = state.listBehindNanos(topic);
    // The store itself has no newer state if it has confirmed the list since.
    if (behindNanos >= BEHIND_NANOS && ageNanos >= behindNanos) {
      return true;
    }
    return ageNanos >= lastNanos || (ageNanos >= firstNanos && isFirst(nowNanos));
  }

  /**
   * Returns whether it is this instance's turn; the time of the confirmation shuffles the turns.
   */
  private boolean isFirst(long nowNanos) {
    long round = state.confirmedStoreMillis(topic);
    long ownPlace = place(state.fleet().self().name(), round);
    List<Heartbeat> live = state.fleet().liveHeartbeats(nowNanos);
    return live.stream()
        .filter(this::asksToo)
        .noneMatch(other -> place(other.sender().name(), round) < ownPlace);
  }

  private boolean asksToo(Heartbeat other) {
    ListStatus status = ListProgress.statusOf(topic, other.listVersions());
    return other.takesCallers() && status.isConfirmed();
  }

  private static long place(String instance, long round) {
    return Hashes.combine(Hashes.of(instance), round);
  }
}

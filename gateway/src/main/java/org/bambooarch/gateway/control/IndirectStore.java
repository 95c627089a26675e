package org.bambooarch.gateway.control;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.ListStatus;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.Topic;

/**
 * Finds another instance through which the store can be asked for a list while it does not respond
 * to this one. Heartbeats tell to which instances it has responded since.
 *
 * <p>Used on the event loop only.
 */
final class IndirectStore {

  /**
   * Age of the list from which on other instances are asked, as a fraction of its bound. By then, a
   * call of this instance has had no response for some time.
   */
  private static final double AGE_FRACTION = 0.5;

  /**
   * Time for which others have known more before they are asked, in nanoseconds: 0.2 s. Applies if
   * the last call of this instance has failed.
   */
  private static final long BEHIND_NANOS = 200_000_000L;

  /** Time between two calls, in nanoseconds: 0.2 s. */
  private static final long CALL_INTERVAL_NANOS = 200_000_000L;

  private final Topic topic;
  private final ControlStore store;
  private final ControlState state;
  private final RandomGenerator random;
  private final long minAgeNanos;
  private long nextCallNanos;

  /**
   * Creates the finder of a list.
   *
   * @param boundMillis longest age at which the list may be used, in milliseconds
   */
  IndirectStore(
      Topic topic,
      ControlStore store,
      ControlState state,
      RandomGenerator random,
      long boundMillis) {
    this.topic = topic;
    this.store = store;
    this.state = state;
    this.random = random;
    this.minAgeNanos = (long) (boundMillis * AGE_FRACTION * 1_000_000L);
    this.nextCallNanos = state.clock().monotonicNanos();
  }

  /**
   * Returns the store as another instance reaches it, if a call is due now.
   *
   * @param lastCallFailed whether the last call of this instance has failed
   */
  Optional<ControlStore> due(boolean lastCallFailed, long nowNanos) {
    boolean missesChange = lastCallFailed && state.listBehindNanos(topic) >= BEHIND_NANOS;
    boolean old = missesChange || state.listAgeNanos(topic) >= minAgeNanos;
    if (!old || nowNanos - nextCallNanos < 0) {
      return Optional.empty();
    }
    List<InstanceIdentity> others =
        state.fleet().liveHeartbeats(nowNanos).stream()
            .filter(this::wasConfirmedLater)
            .map(Heartbeat::sender)
            .toList();
    if (others.isEmpty()) {
      return Optional.empty();
    }
    nextCallNanos = nowNanos + CALL_INTERVAL_NANOS;
    return store.through(others.get(random.nextInt(others.size())));
  }

  private boolean wasConfirmedLater(Heartbeat other) {
    long ownEra = state.listVersions().storeEra();
    long otherEra = other.listVersions().storeEra();
    ListStatus status = ListProgress.statusOf(topic, other.listVersions());
    boolean later = status.confirmedStoreMillis() > state.confirmedStoreMillis(topic);
    return status.isConfirmed() && (otherEra > ownEra || (otherEra == ownEra && later));
  }
}

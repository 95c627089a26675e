package org.bambooarch.core.key;

import java.util.Map;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.config.IssuedKey;
import org.bambooarch.core.time.Clock;

/**
 * Validates the API keys of callers against the configuration that this instance has applied.
 *
 * <p>The control thread calls {@link #publish} and {@link #keepFreshUntil}; request threads call
 * the check methods. A key is accepted only before the freshness deadline, which is compared with
 * the monotonic clock on every check. A process that was paused past the deadline therefore accepts
 * no key, however long the pause was.
 *
 * <pre>{@code
 * switch (keyCheck.check(key)) {
 *   case KeyCheckResult.Accepted accepted -> serve(accepted.customer());
 *   case KeyCheckResult.Rejected() -> refuse(KEY_REJECTED);
 *   case KeyCheckResult.Stale() -> refuse(KEYS_STALE);
 * }
 * }</pre>
 */
public final class KeyCheck {

  /**
   * How long keys stay accepted after the store itself has confirmed the configuration version, in
   * nanoseconds: 3 s.
   *
   * <p>An instance with peers extends the deadline by the longer limit of its {@link
   * org.bambooarch.core.config.ConfigReplicator}.
   */
  public static final long MAX_STALENESS_NANOS = 3_000_000_000L;

  private record Snapshot(
      long version, Map<String, IssuedKey> keysByDigest, long freshUntilNanos) {}

  private final Clock clock;
  private volatile Snapshot snapshot;

  private KeyCheck(Clock clock) {
    this.clock = clock;
    this.snapshot = new Snapshot(0, Map.of(), clock.monotonicNanos());
  }

  /**
   * Returns a check that accepts no key until a configuration has been published and the freshness
   * deadline has been extended.
   */
  public static KeyCheck acceptingNothing(Clock clock) {
    return new KeyCheck(clock);
  }

  /**
   * Replaces the known keys by those of a configuration; does not extend the freshness deadline.
   *
   * <p>A version older than the current one is ignored, so that a store response that arrives out
   * of order cannot bring back a withdrawn key.
   */
  public synchronized void publish(ConfigState state) {
    if (state.version() < snapshot.version()) {
      return;
    }
    snapshot = new Snapshot(state.version(), state.keysByDigest(), snapshot.freshUntilNanos());
  }

  /**
   * Extends the freshness deadline, until which keys are accepted; a deadline earlier than the
   * current one is ignored.
   *
   * @param untilNanos monotonic time: the moment at which the published version was known to be the
   *     newest, plus the staleness that the configuration source permits
   */
  public synchronized void keepFreshUntil(long untilNanos) {
    if (untilNanos - snapshot.freshUntilNanos() > 0) {
      snapshot = new Snapshot(snapshot.version(), snapshot.keysByDigest(), untilNanos);
    }
  }

  /** Checks an API key in plain text, as a caller presents it. */
  public KeyCheckResult check(String key) {
    return checkDigest(KeyDigest.of(key));
  }

  /**
   * Checks a key by its {@link KeyDigest}.
   *
   * <p>For repeated checks while a request waits or its response streams, when the key itself is no
   * longer held.
   */
  public KeyCheckResult checkDigest(String digest) {
    Snapshot current = snapshot;
    IssuedKey issued = current.keysByDigest().get(digest);
    if (issued == null
        || issued.withdrawn()
        || !KeyDigest.equalsInConstantTime(issued.digest(), digest)) {
      return isFresh(current) ? new KeyCheckResult.Rejected() : new KeyCheckResult.Stale();
    }
    if (!isFresh(current)) {
      return new KeyCheckResult.Stale();
    }
    return new KeyCheckResult.Accepted(issued.customer(), digest);
  }

  /** Returns the freshness deadline in monotonic nanoseconds; no key is accepted from then on. */
  public long freshUntilNanos() {
    return snapshot.freshUntilNanos();
  }

  private boolean isFresh(Snapshot current) {
    return clock.monotonicNanos() - current.freshUntilNanos() < 0;
  }
}

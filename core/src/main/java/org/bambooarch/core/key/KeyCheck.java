package org.bambooarch.core.key;

import java.util.Map;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.config.IssuedKey;
import org.bambooarch.core.time.Clock;

/**
 * Checks callers' keys against the configuration that this instance holds.
 *
 * <p>The control thread publishes configurations and extends the stored deadline; traffic threads
 * ask. Once the deadline has passed, no key is accepted, however the process was paused.
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
   * How long a confirmation by the store itself counts, in nanoseconds: 3 s.
   *
   * <p>An instance with peers extends the deadline by the longer limit of its configuration spread.
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

  /** Returns a check that accepts no key until a configuration is published and confirmed. */
  public static KeyCheck acceptingNothing(Clock clock) {
    return new KeyCheck(clock);
  }

  /**
   * Puts the keys of a configuration in force; does not extend the deadline.
   *
   * <p>An older version than the one in force is ignored, so that an overtaken answer of the store
   * cannot bring back a withdrawn key.
   */
  public synchronized void publish(ConfigState state) {
    if (state.version() < snapshot.version()) {
      return;
    }
    snapshot = new Snapshot(state.version(), state.keysByDigest(), snapshot.freshUntilNanos());
  }

  /**
   * Extends the deadline until which keys are accepted; an earlier deadline changes nothing.
   *
   * @param untilNanos monotonic moment, a stated time after the one at which the published version
   *     was known to be the newest
   */
  public synchronized void keepFreshUntil(long untilNanos) {
    if (untilNanos - snapshot.freshUntilNanos() > 0) {
      snapshot = new Snapshot(snapshot.version(), snapshot.keysByDigest(), untilNanos);
    }
  }

  /** Checks a key. */
  public KeyCheckResult check(String key) {
    return checkDigest(KeyDigest.of(key));
  }

  /** Checks a key by its digest, for answers that are still streaming. */
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

  /** Returns the monotonic moment until which keys are accepted. */
  public long freshUntilNanos() {
    return snapshot.freshUntilNanos();
  }

  private boolean isFresh(Snapshot current) {
    return clock.monotonicNanos() - current.freshUntilNanos() < 0;
  }
}

package org.bambooarch.core.key;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bambooarch.core.time.Clock;

/**
 * Decides whether the configuration that this instance holds is provably the newest.
 *
 * <p>Three kinds of evidence count: the store answered; a peer reports a recent answer of the
 * store; or the store is silent for all instances beside it, so that no withdrawal can be accepted.
 * The third needs two instances beside the store, and none that says otherwise: one alone may have
 * lost its own connection.
 *
 * <p>Owned by the control thread.
 */
public final class KeyFreshness {

  /** How many instances beside the store must find it silent. */
  public static final int WITNESSES_OF_SILENCE = 2;

  private final KeyCheck keyCheck;
  private final Clock clock;
  private final Map<Long, Long> askedAtNanos = new HashMap<>();
  private final Set<String> silentFor = new HashSet<>();
  private long nextQuestion = 1;
  private long roundQuestion;
  private long heldVersion;
  private long newestVersion;

  /** Creates the decision over a key check. */
  public KeyFreshness(KeyCheck keyCheck, Clock clock) {
    this.keyCheck = keyCheck;
    this.clock = clock;
  }

  /** Notes that a version was applied and published to the key check. */
  public void onApplied(long version) {
    heldVersion = Math.max(heldVersion, version);
    newestVersion = Math.max(newestVersion, version);
  }

  /**
   * Takes an answer of the store.
   *
   * @param version newest version in the store
   * @param askedNanos monotonic moment at which the store was asked
   */
  public void onStoreHead(long version, long askedNanos) {
    newestVersion = Math.max(newestVersion, version);
    confirmIfCurrent(version, askedNanos);
  }

  /** Returns the newest version that this instance has heard of. */
  public long newestVersion() {
    return newestVersion;
  }

  /** Starts a round of questions to the instances beside the store. */
  public FreshnessMessage.AskHead ask() {
    roundQuestion = nextQuestion++;
    silentFor.clear();
    askedAtNanos.put(roundQuestion, clock.monotonicNanos());
    askedAtNanos.values().removeIf(this::isTooOld);
    return new FreshnessMessage.AskHead(roundQuestion);
  }

  /** Notes that the store is silent for this instance, which itself stands beside it. */
  public void onOwnSilence(String self) {
    countSilence(self, roundQuestion);
  }

  /** Takes an answer of an instance beside the store. */
  public void onMessage(String from, FreshnessMessage message) {
    switch (message) {
      case FreshnessMessage.AskHead ask -> {}
      case FreshnessMessage.HeadSeen seen -> onHeadSeen(seen);
      case FreshnessMessage.StoreSilent silent -> onSilent(from, silent);
    }
  }

  private void onHeadSeen(FreshnessMessage.HeadSeen seen) {
    newestVersion = Math.max(newestVersion, seen.version());
    if (seen.question() == roundQuestion) {
      silentFor.clear();
      roundQuestion = 0;
    }
    askedAt(seen.question())
        .ifPresent(asked -> confirmIfCurrent(seen.version(), asked - seen.ageNanos()));
  }

  private void onSilent(String from, FreshnessMessage.StoreSilent silent) {
    newestVersion = Math.max(newestVersion, silent.version());
    countSilence(from, silent.question());
  }

  private void countSilence(String witness, long question) {
    if (question != roundQuestion || roundQuestion == 0) {
      return;
    }
    silentFor.add(witness);
    if (silentFor.size() >= WITNESSES_OF_SILENCE) {
      askedAt(question).ifPresent(asked -> confirmIfCurrent(newestVersion, asked));
    }
  }

  private void confirmIfCurrent(long version, long asOfNanos) {
    if (version == heldVersion && heldVersion == newestVersion) {
      keyCheck.confirm(asOfNanos);
    }
  }

  private Optional<Long> askedAt(long question) {
    return Optional.ofNullable(askedAtNanos.get(question));
  }

  private boolean isTooOld(long askedNanos) {
    return clock.monotonicNanos() - askedNanos > KeyCheck.FRESHNESS_NANOS;
  }
}

package org.bambooarch.gateway.control;

import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalLong;
import org.bambooarch.core.steering.fleet.ListStatus;
import org.bambooarch.core.steering.fleet.ListVersions;
import org.bambooarch.gateway.spi.ControlChange;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;

/**
 * What this instance knows of the store's lists, how old that is, and what others know. An instance
 * is behind if another one knows a change of a later version than all that it has read itself.
 *
 * <p>A list is as old as its last confirmation: a response of the store, or another instance that
 * has had one and knows the same content.
 *
 * <p>Used on the event loop only.
 */
final class ListProgress {

  /** The state of one list. */
  private static final class Progress {
    private final ListDigest digest = new ListDigest();
    private long readUpTo;
    private long newestChange;
    private long newestChangeOfOthers;
    private long confirmedNanos;
    private long confirmedDigest;
    private long confirmedStoreMillis;
    private long othersDifferSinceStoreMillis;
    private long othersDifferUntilStoreMillis;
    private boolean behind;
    private long behindSinceNanos;
    private boolean confirmedForOthers;
    private long confirmedForOthersNanos;
  }

  private final Map<Topic, Progress> progresses = new EnumMap<>(Topic.class);
  private final StoreClock storeClock = new StoreClock();
  private long era;
  private long eraOfOthers;

  /** Creates the progress of an instance that has read nothing. */
  ListProgress(long nowNanos) {
    for (Topic topic : Topic.values()) {
      Progress progress = new Progress();
      progress.confirmedNanos = nowNanos;
      progresses.put(topic, progress);
    }
  }

  /** Records a change of a list that was applied. */
  void onApplied(ControlChange change) {
    Topic topic =
        switch (change) {
          case ControlChange.ServerListed listed -> Topic.SERVERS;
          case ControlChange.ServerRemoved removed -> Topic.SERVERS;
          case ControlChange.InstanceListed listed -> Topic.INSTANCES;
          case ControlChange.ConfigurationChanged changed -> Topic.OPERATOR;
          case ControlChange.ConfigurationRemoved removed -> Topic.OPERATOR;
          case ControlChange.DataCentreClosed closed -> Topic.OPERATOR;
          case ControlChange.DataCentreReopened reopened -> Topic.OPERATOR;
          // Only that of the configuration is part of a list's content.
          case ControlChange.UnreadableEntry unreadable -> Topic.OPERATOR;
        };
    progresses.get(topic).digest.apply(change);
  }

  /** Records that a list was replaced by its full content. */
  void onReplaced(Topic topic, ControlUpdate fullList) {
    progresses.get(topic).digest.replace(fullList.changes());
  }

  /**
   * Records a response that holds a full list or its changes, after it was applied.
   *
   * @param asOfNanos monotonic time at which the list was as the response says, or an earlier one
   * @param receivedNanos monotonic time of the response
   */
  void onRead(Topic topic, ControlUpdate update, long asOfNanos, long receivedNanos) {
    if (update.storeEra() > era) {
      era = update.storeEra();
      progresses.values().forEach(ListProgress::forgetVersions);
    }
    storeClock.onResponse(update.storeMillis(), asOfNanos, receivedNanos);
    Progress progress = progresses.get(topic);
    progress.readUpTo = Math.max(progress.readUpTo, update.version());
    progress.newestChange = Math.max(progress.newestChange, update.newestChange());
    confirm(progress, update.storeMillis(), asOfNanos, receivedNanos);
    progress.confirmedForOthers = false;
    updateBehind(progress, receivedNanos);
  }

  private static void forgetVersions(Progress progress) {
    progress.readUpTo = 0;
    progress.newestChange = 0;
    progress.confirmedStoreMillis = 0;
    forgetOthersContent(progress);
  }

  private static void forgetOthersContent(Progress progress) {
    progress.othersDifferSinceStoreMillis = 0;
    progress.othersDifferUntilStoreMillis = 0;
  }

  private void confirm(
      Progress progress, long storeMillis, long earliestNanos, long receivedNanos) {
    OptionalLong datedNanos =
        storeMillis > 0 ? storeClock.toMonotonicNanos(storeMillis) : OptionalLong.empty();
    long asOfNanos =
        Math.max(earliestNanos, Math.min(datedNanos.orElse(earliestNanos), receivedNanos));
    progress.confirmedNanos += Math.max(0, asOfNanos - progress.confirmedNanos);
    boolean sameContent = progress.confirmedDigest == progress.digest.value();
    progress.confirmedDigest = progress.digest.value();
    progress.confirmedStoreMillis =
        sameContent ? Math.max(progress.confirmedStoreMillis, storeMillis) : storeMillis;
    if (progress.confirmedStoreMillis >= progress.othersDifferSinceStoreMillis) {
      forgetOthersContent(progress);
    }
  }

  /** Records what another instance reports. */
  void onReported(ListVersions others, long nowNanos) {
    if (others.storeEra() < eraOfOthers) {
      return;
    }
    if (others.storeEra() > eraOfOthers) {
      eraOfOthers = others.storeEra();
      progresses.values().forEach(progress -> progress.newestChangeOfOthers = 0);
    }
    onReported(progresses.get(Topic.OPERATOR), others.operators(), nowNanos);
    onReported(progresses.get(Topic.SERVERS), others.servers(), nowNanos);
  }

  private void onReported(Progress progress, ListStatus other, long nowNanos) {
    progress.newestChangeOfOthers = Math.max(progress.newestChangeOfOthers, other.newestChange());
    if (eraOfOthers == era && other.isConfirmed()) {
      storeClock.onReport(other.confirmedStoreMillis(), nowNanos);
      boolean sameContent = progress.readUpTo > 0 && other.digest() == progress.digest.value();
      OptionalLong asOfNanos = storeClock.toMonotonicNanos(other.confirmedStoreMillis());
      if (sameContent && asOfNanos.isPresent()) {
        confirm(progress, other.confirmedStoreMillis(), progress.confirmedNanos, nowNanos);
      }
      boolean newer = other.confirmedStoreMillis() > progress.confirmedStoreMillis;
      if (newer && !sameContent) {
        onOtherContent(progress, other.confirmedStoreMillis());
      }
      if (newer && asOfNanos.isPresent() && !progress.confirmedForOthers) {
        progress.confirmedForOthers = true;
        progress.confirmedForOthersNanos = Math.min(asOfNanos.getAsLong(), nowNanos);
      }
    }
    updateBehind(progress, nowNanos);
  }

  private static void onOtherContent(Progress progress, long confirmedStoreMillis) {
    if (progress.othersDifferSinceStoreMillis == 0) {
      progress.othersDifferSinceStoreMillis = confirmedStoreMillis;
    }
    progress.othersDifferUntilStoreMillis =
        Math.max(progress.othersDifferUntilStoreMillis, confirmedStoreMillis);
  }

  private void updateBehind(Progress progress, long nowNanos) {
    boolean behind =
        eraOfOthers == era ? progress.newestChangeOfOthers > progress.readUpTo : eraOfOthers > era;
    if (behind && !progress.behind) {
      progress.behindSinceNanos = nowNanos;
    }
    progress.behind = behind;
  }

  /** Returns whether another instance knows a change of a list that this one has not read. */
  boolean isBehind(Topic topic) {
    return progresses.get(topic).behind;
  }

  /** Returns for how long {@link #isBehind} has held, in nanoseconds; 0 if it does not. */
  long behindNanos(Topic topic, long nowNanos) {
    Progress progress = progresses.get(topic);
    return progress.behind ? nowNanos - progress.behindSinceNanos : 0;
  }

  /**
   * Returns the first time since this instance has last read a list at which the store responded to
   * another one that knows other content; empty if it has not.
   */
  OptionalLong confirmedForOthersNanos(Topic topic) {
    Progress progress = progresses.get(topic);
    return progress.confirmedForOthers
        ? OptionalLong.of(progress.confirmedForOthersNanos)
        : OptionalLong.empty();
  }

  /** Returns the time since the last confirmation of a list, in nanoseconds. */
  long ageNanos(Topic topic, long nowNanos) {
    return nowNanos - progresses.get(topic).confirmedNanos;
  }

  /**
   * Returns the time of the store's steady clock at the last confirmation of a list, in
   * milliseconds; 0 if unknown.
   */
  long confirmedStoreMillis(Topic topic) {
    return progresses.get(topic).confirmedStoreMillis;
  }

  /**
   * Returns the time of the store's steady clock at a monotonic time, in milliseconds; empty before
   * the first response.
   */
  OptionalLong storeMillisAt(long nanos) {
    return storeClock.toStoreMillis(nanos);
  }

  /**
   * Returns the time, by the store's clock, between the first and the last confirmation of other
   * content to other instances since this instance's own last confirmation, in milliseconds.
   */
  long overdueMillis(Topic topic) {
    Progress progress = progresses.get(topic);
    boolean comparable = eraOfOthers == era && progress.confirmedStoreMillis > 0;
    return comparable
        ? progress.othersDifferUntilStoreMillis - progress.othersDifferSinceStoreMillis
        : 0;
  }

  /** Returns what an instance reports of one of the lists that are watched. */
  static ListStatus statusOf(Topic topic, ListVersions reported) {
    return topic == Topic.OPERATOR ? reported.operators() : reported.servers();
  }

  /** Returns what this instance reports to the others. */
  ListVersions own() {
    return new ListVersions(era, ownStatus(Topic.OPERATOR), ownStatus(Topic.SERVERS));
  }

  private ListStatus ownStatus(Topic topic) {
    Progress progress = progresses.get(topic);
    return new ListStatus(
        progress.newestChange, progress.digest.value(), progress.confirmedStoreMillis);
  }
}

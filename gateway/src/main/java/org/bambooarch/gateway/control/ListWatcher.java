package org.bambooarch.gateway.control;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.ControlStoreException;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;
import org.tinylog.Logger;

/**
 * Keeps a list of the platform up to date: reads it once in full and then watches its changes.
 *
 * <p>A response can be lost without any sign on its connection, so each call waits for a limited
 * time only. After a failure it retries with a growing delay and resumes from the version that it
 * has. It reads the full list again only if the store no longer keeps the changes since that
 * version, or if the store returned from an older copy, whose versions count anew from an earlier
 * one.
 *
 * <p>Used on the event loop only.
 */
final class ListWatcher {

  /** Time for connecting and reading again after a call whose response was lost. */
  private static final long RECOVERY_MILLIS = 600;

  /** Shortest time to wait for a change in one call; the platform bills calls. */
  private static final long MIN_LONG_POLL_MILLIS = 500;

  /** Longest time to wait for a change in one call. */
  private static final long MAX_LONG_POLL_MILLIS = 20_000;

  /**
   * How much more often than the bound requires the calls of all instances together end, as a
   * divisor, since they do so at random times.
   */
  private static final long FLEET_OVERLAP = 2;

  /**
   * Delay after changes until the next call, so that a series of changes arrives in one response.
   */
  private static final long BATCH_DELAY_MILLIS = 200;

  /**
   * First delay before a retry. Both delays are short because an instance that was cut off from the
   * store must learn of servers that have left within seconds after the connection is restored.
   */
  private static final long MIN_RETRY_DELAY_MILLIS = 150;

  /**
   * Longest delay before a retry, without its random part: each delay is extended at random to at
   * most twice its length.
   */
  private static final long MAX_RETRY_DELAY_MILLIS = 400;

  private final Topic topic;
  private final ControlStore store;
  private final ControlState state;
  private final EventLoop loop;
  private final RandomGenerator random;
  private final StoreEra era;
  private final long aloneMillis;
  private boolean storeReachable = true;
  private boolean loaded;
  private boolean stopped;
  private boolean beginsWithOthers;
  private long version;
  private long listEra;
  private long callNumber;
  private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
  private CompletableFuture<Void> checkInProgress;

  /**
   * Creates a watcher that makes no calls until {@link #start()}.
   *
   * @param maxListAgeMillis longest time until the list is up to date again after a response was
   *     lost, in milliseconds, if there is no other instance
   */
  ListWatcher(
      Topic topic,
      ControlStore store,
      ControlState state,
      EventLoop loop,
      RandomGenerator random,
      StoreEra era,
      long maxListAgeMillis) {
    this.topic = topic;
    this.store = store;
    this.state = state;
    this.loop = loop;
    this.random = random;
    this.era = era;
    this.aloneMillis =
        Math.max(
            MIN_LONG_POLL_MILLIS,
            maxListAgeMillis - ControlStore.WATCH_RESPONSE_TIMEOUT_MILLIS - RECOVERY_MILLIS);
  }

  /** Starts to read and watch the list. */
  void start() {
    requestNextUpdate();
  }

  /** Makes no further calls; the response to a call in progress is still applied. */
  void stop() {
    stopped = true;
  }

  /** Reads the full list at once if what is known of it comes from an earlier era of the store. */
  void onNewEra() {
    if (loaded && listEra != era.current()) {
      loaded = false;
      requestNextUpdate();
    }
  }

  /**
   * Makes a new call for the changes so far and ignores the response to the one in progress. Does
   * nothing while the list is read in full or the store is not reachable, as those calls are
   * retried.
   */
  void renew() {
    if (loaded && storeReachable && !stopped) {
      Logger.warn(
          "event=watch-renewed list={} version={} reason=\"others know a newer state\"",
          topic,
          version);
      requestUpdate(0);
    }
  }

  /**
   * Asks the store for changes at once, beside the watch in progress, since the response to that
   * one may have been lost. Does nothing while the list is read in full or the store is not
   * reachable.
   *
   * @return a future that completes when the response has been applied or the call has failed
   */
  CompletableFuture<Void> check() {
    if (!loaded || !storeReachable || stopped) {
      return CompletableFuture.completedFuture(null);
    }
    if (checkInProgress == null) {
      long call = callNumber;
      long askedNanos = state.clock().monotonicNanos();
      checkInProgress =
          store
              .watch(topic, version, 0)
              .handleAsync((update, failure) -> onChecked(call, askedNanos, update, failure), loop);
    }
    return checkInProgress;
  }

  private Void onChecked(long call, long askedNanos, ControlUpdate update, Throwable failure) {
    checkInProgress = null;
    if (failure == null && update.storeEra() == listEra && update.changes().isEmpty()) {
      state.onListRead(topic, update, askedNanos);
      return null;
    }
    if (call != callNumber) {
      return null;
    }
    // The response to the watch in progress is ignored from here on.
    onChanges(++callNumber, askedNanos, update, failure);
    return null;
  }

  private void requestNextUpdate() {
    requestUpdate(waitMillis());
  }

  private void requestUpdate(long waitMillis) {
    if (stopped) {
      return;
    }
    // The response to a call is ignored if another call has been made since.
    long call = ++callNumber;
    long askedNanos = state.clock().monotonicNanos();
    if (loaded) {
      store
          .watch(topic, version, waitMillis)
          .whenCompleteAsync(
              (update, failure) -> onChanges(call, askedNanos, update, failure), loop);
    } else {
      store
          .read(topic)
          .whenCompleteAsync(
              (update, failure) -> onFullList(call, askedNanos, update, failure), loop);
    }
  }

  /**
   * Returns how long the next call may wait for a change. While the store does not respond, calls
   * do not wait, so that its return is noticed at once.
   *
   * <p>An instance hears from any other one that knows more. The more there are, the longer each
   * call may wait, as long as one of them ends in time.
   */
  private long waitMillis() {
    if (!storeReachable) {
      return 0;
    }
    List<Heartbeat> others =
        state.fleet().liveHeartbeats(state.clock().monotonicNanos()).stream()
            // Those that stop no longer watch.
            .filter(Heartbeat::takesCallers)
            .toList();
    return beginsWithOthers ? waitMillisByRank(others) : randomWaitMillis(others.size() + 1);
  }

  /**
   * Returns the wait of a call that all instances begin at the same time, since they have read the
   * same change or the store has returned: one call after the other ends, in the order of the
   * instances' names.
   */
  private long waitMillisByRank(List<Heartbeat> others) {
    String ownName = state.fleet().self().name();
    long rank =
        others.stream().filter(other -> other.sender().name().compareTo(ownName) < 0).count();
    long stepMillis = aloneMillis / FLEET_OVERLAP;
    long firstMillis = stepMillis * (1 + rank);
    if (firstMillis + stepMillis > MAX_LONG_POLL_MILLIS) {
      return randomWaitMillis(others.size() + 1);
    }
    return firstMillis + random.nextLong(stepMillis + 1);
  }

  private long randomWaitMillis(int instances) {
    long fleetMillis = Math.min(MAX_LONG_POLL_MILLIS, instances * aloneMillis / FLEET_OVERLAP);
    return Math.max(aloneMillis, fleetMillis / 2 + random.nextLong(fleetMillis / 2 + 1));
  }

  private void onFullList(long call, long askedNanos, ControlUpdate update, Throwable failure) {
    if (call != callNumber) {
      return;
    }
    if (failure != null) {
      onFailure(failure);
      return;
    }
    onStoreReachable();
    listEra = update.storeEra();
    era.onResponse(update.storeEra());
    if (update.storeEra() < era.current()) {
      schedule(BATCH_DELAY_MILLIS);
      return;
    }
    state.replaceList(topic, update);
    state.onListRead(topic, update, askedNanos);
    loaded = true;
    beginsWithOthers = true;
    version = update.version();
    requestNextUpdate();
  }

  private void onChanges(long call, long askedNanos, ControlUpdate update, Throwable failure) {
    if (call != callNumber) {
      return;
    }
    if (failure != null) {
      onFailure(failure);
      return;
    }
    final boolean regained = !storeReachable;
    onStoreReachable();
    if (update.storeEra() > listEra) {
      // Calls onNewEra() of all lists, this one included.
      era.onResponse(update.storeEra());
      return;
    }
    if (update.storeEra() < listEra) {
      schedule(BATCH_DELAY_MILLIS);
      return;
    }
    version = Math.max(version, update.version());
    state.onListRead(topic, update, askedNanos);
    beginsWithOthers = regained || !update.changes().isEmpty();
    if (update.changes().isEmpty()) {
      requestNextUpdate();
      return;
    }
    state.applyChanges(update);
    schedule(BATCH_DELAY_MILLIS);
  }

  private void onStoreReachable() {
    retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
    if (!storeReachable) {
      storeReachable = true;
      state.onListReachable(topic, true);
      Logger.info("event=store-regained list={} version={}", topic, version);
      state.servers().onStoreReturned(state.clock().monotonicNanos());
    }
  }

  private void onFailure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof ControlStoreException lost && lost.isHistoryLost()) {
      Logger.warn(
          "event=history-lost list={} version={} reason=\"the store no longer keeps the"
              + " changes since this version, reading the full list\"",
          topic,
          version);
      loaded = false;
      requestNextUpdate();
      return;
    }
    if (storeReachable) {
      storeReachable = false;
      state.onListReachable(topic, false);
      Logger.warn(
          "event=store-lost list={} version={} reason=\"store call failed, retrying: {}\"",
          topic,
          version,
          cause);
    }
    schedule(retryDelayMillis + random.nextLong(retryDelayMillis));
    retryDelayMillis = Math.min(2 * retryDelayMillis, MAX_RETRY_DELAY_MILLIS);
  }

  private void schedule(long millis) {
    long call = callNumber;
    loop.schedule(
        () -> {
          if (call == callNumber) {
            requestNextUpdate();
          }
        },
        millis,
        TimeUnit.MILLISECONDS);
  }
}

package org.bambooarch.gateway.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.bambooarch.gateway.ListAgeBounds;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.ControlStoreException;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;
import org.tinylog.Logger;

/**
 * Keeps a list of the platform up to date: reads it once in full and then watches its changes.
 *
 * <p>One call waits at the store for changes. Its response can be lost without any sign on its
 * connection, so the list is also confirmed by calls that do not wait, as its {@link
 * ConfirmationSchedule} asks for. While one of these has no response, further ones are made beside
 * it. Each call in progress has a connection of its own, so they do not fail together. Any response
 * that is newer than what is known is applied, also after later calls.
 *
 * <p>It reads the full list again only if the store no longer keeps the changes since the known
 * version, or if the store returned from an older copy, whose versions count anew from an earlier
 * one.
 *
 * <p>While the store does not respond to this instance but to others, it is asked through these.
 *
 * <p>Used on the event loop only.
 */
final class ListWatcher {

  /** Shortest time for which a call waits for a change. */
  private static final long MIN_WATCH_MILLIS = 10_000;

  /** Longest time for which a call waits for a change. */
  private static final long MAX_WATCH_MILLIS = 20_000;

  /**
   * Delay after changes until the next call that waits, so that a series of changes arrives in one
   * response.
   */
  private static final long BATCH_DELAY_MILLIS = 200;

  /** Largest number of calls without response that do not wait for changes. */
  private static final int MAX_CALLS = 10;

  /** Largest number of calls without response that go through other instances. */
  private static final int MAX_INDIRECT_CALLS = 5;

  private final Topic topic;
  private final ControlStore store;
  private final ControlState state;
  private final EventLoop loop;
  private final RandomGenerator random;
  private final StoreEra era;
  private final ConfirmationSchedule schedule;
  private final IndirectStore indirectStore;
  private final StoreReachability reachability;
  private final long minLapseNanos;
  private final Listener listener;
  private boolean started;
  private boolean stopped;
  private boolean loaded;
  private long version;
  private long listEra;
  private boolean watching;
  private long watchNumber;
  private int callsInProgress;
  private int indirectCallsInProgress;
  private long nextCallNanos;
  private CompletableFuture<Void> nextResponse = new CompletableFuture<>();

  /** What became of a response. */
  private enum Reading {
    /** It was of a later era of the store, for which the full list is read first. */
    POSTPONED,
    /** It held something that was not known. */
    CHANGES,
    /** It confirmed the list. */
    CONFIRMATION
  }

  /** Learns of responses of the store. */
  interface Listener {

    /** Called after a response that shows that the store can be reached. */
    void onStoreHeard();

    /**
     * Called after a response to a call that did not wait has confirmed the list, which other
     * instances should hear of.
     */
    void onConfirmed();
  }

  /**
   * Creates a watcher that makes no calls until {@link #start()}.
   *
   * @param bounds longest ages at which the lists may be used
   * @param listener learns of responses
   */
  ListWatcher(
      Topic topic,
      ControlStore store,
      ControlState state,
      EventLoop loop,
      RandomGenerator random,
      StoreEra era,
      ListAgeBounds bounds,
      Listener listener) {
    this.topic = topic;
    this.store = store;
    this.state = state;
    this.loop = loop;
    this.random = random;
    this.era = era;
    this.schedule = new ConfirmationSchedule(topic, state, bounds.millisOf(topic));
    this.indirectStore = new IndirectStore(topic, store, state, random, bounds.millisOf(topic));
    this.reachability = new StoreReachability(random);
    this.minLapseNanos = bounds.minLapseMillis() * 1_000_000L;
    this.listener = listener;
  }

  /** Starts to read and watch the list. */
  void start() {
    started = true;
    ask();
  }

  /** Makes the next call at once if the store was unreachable: it responds to other calls. */
  void onStoreHeard() {
    long nowNanos = nowNanos();
    reachability.onHeard(nowNanos);
    if (!reachability.isReachable()) {
      nextCallNanos = nowNanos;
    }
  }

  /** Makes no further calls; the response to a call in progress is still applied. */
  void stop() {
    stopped = true;
  }

  /** Asks the store if the list needs it. Called every {@link ControlState#TICK_MILLIS}. */
  void tick() {
    if (!started || stopped) {
      return;
    }
    long nowNanos = nowNanos();
    if (indirectCallsInProgress < MAX_INDIRECT_CALLS) {
      indirectStore.due(reachability.lastCallFailed(), nowNanos).ifPresent(this::askIndirectly);
    }
    if (callsInProgress >= MAX_CALLS || nowNanos - nextCallNanos < 0) {
      return;
    }
    if (!loaded || !reachability.isReachable() || schedule.isDue(nowNanos)) {
      ask();
    }
  }

  /** Reads the full list at once if what is known of it comes from an earlier era of the store. */
  void onNewEra() {
    if (loaded && listEra != era.current()) {
      loaded = false;
      ask();
    }
  }

  /**
   * Asks the store for changes at once, unless it was just asked. Does nothing while the list is
   * read in full or the store is not reachable.
   *
   * @return a future that completes when a response has been applied or a call has failed
   */
  CompletableFuture<Void> check() {
    if (!loaded || !reachability.isReachable() || stopped) {
      return CompletableFuture.completedFuture(null);
    }
    CompletableFuture<Void> response = nextResponse;
    if (callsInProgress == 0 || nowNanos() - nextCallNanos >= 0) {
      ask();
    }
    return response;
  }

  /** Makes a call that does not wait for changes. */
  private void ask() {
    if (stopped) {
      return;
    }
    ListCall call = new ListCall(!loaded, 0, false, nowNanos());
    nextCallNanos = call.askedNanos() + reachability.patienceMillis(call.askedNanos()) * 1_000_000L;
    callsInProgress++;
    onCompletion(make(call, store), (update, failure) -> onAnswer(call, update, failure));
  }

  private CompletableFuture<ControlUpdate> make(ListCall call, ControlStore target) {
    return call.readsFullList() ? target.read(topic) : target.watch(topic, version, 0);
  }

  private void askIndirectly(ControlStore throughOther) {
    ListCall call = new ListCall(!loaded, 0, true, nowNanos());
    indirectCallsInProgress++;
    onCompletion(
        make(call, throughOther), (update, failure) -> onIndirectAnswer(call, update, failure));
  }

  /** Runs a handler on the event loop; a failure in it would otherwise leave no trace. */
  private void onCompletion(
      CompletableFuture<ControlUpdate> response, BiConsumer<ControlUpdate, Throwable> handler) {
    response
        .handleAsync(
            (update, failure) -> {
              handler.accept(update, failure);
              return update;
            },
            loop)
        .whenComplete(
            (update, failure) -> {
              if (failure != null) {
                Logger.error(
                    rootOf(failure),
                    "event=response-not-handled list={} version={} reason=\"asking again later\"",
                    topic,
                    version);
              }
            });
  }

  private void onIndirectAnswer(ListCall call, ControlUpdate update, Throwable failure) {
    indirectCallsInProgress--;
    if (failure == null) {
      if (!isOutdated(update)) {
        state.onListReachable(topic, true);
        state.onStoreRegained(minLapseNanos);
        accept(call, update, false);
      }
    } else if (isHistoryLost(failure)) {
      onHistoryLost();
    } else {
      Logger.info(
          "event=indirect-call-failed list={} version={} reason=\"{}\"",
          topic,
          version,
          rootOf(failure));
    }
  }

  private void onAnswer(ListCall call, ControlUpdate update, Throwable failure) {
    callsInProgress--;
    reachability.onCallEnded(failure != null);
    if (failure != null) {
      onFailure(call, failure);
    } else if (onUpdate(call, update)) {
      listener.onConfirmed();
    }
    CompletableFuture<Void> answered = nextResponse;
    nextResponse = new CompletableFuture<>();
    answered.complete(null);
  }

  /** Makes a call that waits for changes; it takes the place of the one before. */
  private void watch() {
    if (stopped) {
      return;
    }
    watching = true;
    long number = ++watchNumber;
    long waitMillis = MIN_WATCH_MILLIS + random.nextLong(MAX_WATCH_MILLIS - MIN_WATCH_MILLIS + 1);
    ListCall call = new ListCall(false, waitMillis, false, nowNanos());
    onCompletion(
        store.watch(topic, version, waitMillis),
        (update, failure) -> onWatchEnd(number, call, update, failure));
  }

  private void onWatchEnd(long number, ListCall call, ControlUpdate update, Throwable failure) {
    if (failure == null) {
      onUpdate(call, update);
    }
    if (number != watchNumber) {
      return;
    }
    reachability.onCallEnded(failure != null);
    if (failure != null) {
      onWatchFailed(failure);
    } else if (update.changes().isEmpty()) {
      watch();
    } else {
      watchAfterDelay();
    }
  }

  /** Asks the store at once: waiting calls can be cut while the store responds to others. */
  private void onWatchFailed(Throwable failure) {
    watching = false;
    if (isHistoryLost(failure)) {
      onHistoryLost();
    } else if (reachability.isReachable() && callsInProgress < MAX_CALLS) {
      Logger.info(
          "event=watch-lost list={} version={} reason=\"{}\"", topic, version, rootOf(failure));
      ask();
    }
  }

  private void watchAfterDelay() {
    watching = true;
    long number = ++watchNumber;
    loop.schedule(
        () -> {
          if (number == watchNumber) {
            watch();
          }
        },
        BATCH_DELAY_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Applies a response; returns false if it says less than what is known. */
  private boolean onUpdate(ListCall call, ControlUpdate update) {
    listener.onStoreHeard();
    if (isOutdated(update)) {
      return false;
    }
    boolean regained = onStoreReachable();
    Reading reading = accept(call, update, regained);
    if (reading == Reading.POSTPONED) {
      return false;
    }
    if (call.readsFullList()) {
      watch();
    } else if (regained || !watching || (reading == Reading.CHANGES && call.waitMillis() == 0)) {
      // The call that waits has missed the changes, or it is lost.
      watchAfterDelay();
    }
    return true;
  }

  /**
   * Applies a response that is not outdated, and records the confirmation.
   *
   * @param regained whether the store was unreachable before
   */
  private Reading accept(ListCall call, ControlUpdate update, boolean regained) {
    if (update.storeEra() > listEra && !call.readsFullList()) {
      // Calls onNewEra() of all lists, this one included.
      era.onResponse(update.storeEra());
      return Reading.POSTPONED;
    }
    final long ageBeforeMillis = state.listAgeNanos(topic) / 1_000_000L;
    boolean changed = apply(call, update);
    state.onListRead(topic, update, call.asOfNanos(update, nowNanos()));
    if (changed || regained) {
      logRead(call, update, ageBeforeMillis);
    }
    return changed ? Reading.CHANGES : Reading.CONFIRMATION;
  }

  /** Returns whether the response holds anything that was not known. */
  private boolean apply(ListCall call, ControlUpdate update) {
    boolean changed = update.version() > version && !update.changes().isEmpty();
    if (call.readsFullList()) {
      listEra = update.storeEra();
      era.onResponse(update.storeEra());
      state.replaceList(topic, update);
      loaded = true;
    } else if (changed) {
      state.applyChanges(update);
    }
    version = update.version();
    return changed || call.readsFullList();
  }

  private boolean isOutdated(ControlUpdate update) {
    return update.storeEra() < era.current()
        || (update.storeEra() == listEra && update.version() < version);
  }

  private void logRead(ListCall call, ControlUpdate update, long ageBeforeMillis) {
    Logger.info(
        "event=list-read list={} call={} version={} changes={} took-millis={}"
            + " age-before-millis={} age-millis={}",
        topic,
        call.kind(),
        update.version(),
        update.changes().size(),
        (nowNanos() - call.askedNanos()) / 1_000_000L,
        ageBeforeMillis,
        state.listAgeNanos(topic) / 1_000_000L);
  }

  /** Returns whether the store was unreachable before. */
  private boolean onStoreReachable() {
    if (reachability.isReachable()) {
      return false;
    }
    reachability.setReachable(true);
    state.onListReachable(topic, true);
    Logger.info("event=store-regained list={} version={}", topic, version);
    state.onStoreRegained(minLapseNanos);
    return true;
  }

  private void onFailure(ListCall call, Throwable failure) {
    if (isHistoryLost(failure)) {
      onHistoryLost();
      return;
    }
    boolean confirmedSince = state.listAgeNanos(topic) < nowNanos() - call.askedNanos();
    if (reachability.isReachable() && !confirmedSince) {
      reachability.setReachable(false);
      state.onListReachable(topic, false);
      Logger.warn(
          "event=store-lost list={} version={} age-millis={} reason=\"store call failed,"
              + " retrying: {}\"",
          topic,
          version,
          state.listAgeNanos(topic) / 1_000_000L,
          rootOf(failure));
    }
  }

  private static boolean isHistoryLost(Throwable failure) {
    return rootOf(failure) instanceof ControlStoreException lost && lost.isHistoryLost();
  }

  private static Throwable rootOf(Throwable failure) {
    return failure instanceof CompletionException ? failure.getCause() : failure;
  }

  private void onHistoryLost() {
    listener.onStoreHeard();
    if (!loaded) {
      return;
    }
    Logger.warn(
        "event=history-lost list={} version={} reason=\"the store no longer keeps the"
            + " changes since this version, reading the full list\"",
        topic,
        version);
    loaded = false;
    ask();
    // The next tick reads once more, as the gap in the history may have used up time for a loss.
    nextCallNanos = nowNanos();
  }

  private long nowNanos() {
    return state.clock().monotonicNanos();
  }
}

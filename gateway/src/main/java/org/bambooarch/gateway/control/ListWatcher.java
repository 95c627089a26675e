package org.bambooarch.gateway.control;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.ControlStoreException;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;
import org.tinylog.Logger;

/**
 * Keeps a list of the platform up to date: reads it once and follows its changes.
 *
 * <p>After a failure it asks again with a growing pause, and goes on from the version it has; it
 * reads the whole list only when the store has forgotten the changes since.
 */
final class ListWatcher {

  /** Longest time to wait for a change in one call: calls are billed, and this makes few. */
  static final long LONG_POLL_MILLIS = 20_000;

  /** Pause after changes, so that a series of them comes in one answer. */
  private static final long BATCH_DELAY_MILLIS = 200;

  /**
   * First pause after a failure, and the longest; an instance that was cut off from the store must
   * know of leaving servers within seconds of the end of the cut.
   */
  private static final long MIN_RETRY_DELAY_MILLIS = 150;

  private static final long MAX_RETRY_DELAY_MILLIS = 400;

  private final Topic topic;
  private final ControlStore store;
  private final ControlState state;
  private final EventLoop loop;
  private final RandomGenerator random;
  private boolean storeReachable = true;
  private boolean loaded;
  private boolean stopped;
  private long version;
  private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;

  ListWatcher(
      Topic topic, ControlStore store, ControlState state, EventLoop loop, RandomGenerator random) {
    this.topic = topic;
    this.store = store;
    this.state = state;
    this.loop = loop;
    this.random = random;
  }

  void start() {
    requestNext();
  }

  void stop() {
    stopped = true;
  }

  private void requestNext() {
    if (stopped) {
      return;
    }
    if (loaded) {
      store
          .watch(topic, version, LONG_POLL_MILLIS)
          .whenCompleteAsync((update, failure) -> onChanges(update, failure), loop);
    } else {
      store.read(topic).whenCompleteAsync((update, failure) -> onFullList(update, failure), loop);
    }
  }

  private void onFullList(ControlUpdate update, Throwable failure) {
    if (failure != null) {
      onFailure(failure);
      return;
    }
    onStoreReachable();
    state.replaceList(topic, update);
    loaded = true;
    version = update.version();
    requestNext();
  }

  private void onChanges(ControlUpdate update, Throwable failure) {
    if (failure != null) {
      onFailure(failure);
      return;
    }
    onStoreReachable();
    version = Math.max(version, update.version());
    if (update.changes().isEmpty()) {
      requestNext();
      return;
    }
    state.applyChanges(update);
    schedule(BATCH_DELAY_MILLIS);
  }

  private void onStoreReachable() {
    retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
    if (!storeReachable) {
      storeReachable = true;
      Logger.info("event=store-regained list={} version={}", topic, version);
      state.servers().onStoreReturned(state.clock().monotonicNanos());
    }
  }

  private void onFailure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof ControlStoreException lost && lost.isHistoryLost()) {
      Logger.warn("event=history-lost list={} version={}", topic, version);
      loaded = false;
      requestNext();
      return;
    }
    if (storeReachable) {
      storeReachable = false;
      Logger.warn("event=store-lost list={} version={} reason=\"{}\"", topic, version, cause);
    }
    schedule(retryDelayMillis + random.nextLong(retryDelayMillis));
    retryDelayMillis = Math.min(2 * retryDelayMillis, MAX_RETRY_DELAY_MILLIS);
  }

  private void schedule(long millis) {
    loop.schedule(this::requestNext, millis, TimeUnit.MILLISECONDS);
  }
}

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
  static final long WAIT_MILLIS = 20_000;

  /** Pause after changes, so that a series of them comes in one answer. */
  private static final long GATHER_MILLIS = 200;

  /**
   * First pause after a failure, and the longest; an instance that was cut off from the store must
   * know of leaving servers within seconds of the end of the cut.
   */
  private static final long MIN_PAUSE_MILLIS = 150;

  private static final long MAX_PAUSE_MILLIS = 400;

  private final Topic topic;
  private final ControlStore store;
  private final ControlState state;
  private final EventLoop loop;
  private final RandomGenerator random;
  private boolean reachable = true;
  private boolean loaded;
  private boolean stopped;
  private long version;
  private long pauseMillis = MIN_PAUSE_MILLIS;

  ListWatcher(
      Topic topic, ControlStore store, ControlState state, EventLoop loop, RandomGenerator random) {
    this.topic = topic;
    this.store = store;
    this.state = state;
    this.loop = loop;
    this.random = random;
  }

  void start() {
    next();
  }

  void stop() {
    stopped = true;
  }

  private void next() {
    if (stopped) {
      return;
    }
    if (loaded) {
      store
          .watch(topic, version, WAIT_MILLIS)
          .whenCompleteAsync((list, failure) -> onChanges(list, failure), loop);
    } else {
      store.read(topic).whenCompleteAsync((list, failure) -> onWhole(list, failure), loop);
    }
  }

  private void onWhole(ControlUpdate list, Throwable failure) {
    if (failure != null) {
      onFailure(failure);
      return;
    }
    onReached();
    state.replaceList(topic, list);
    loaded = true;
    version = list.version();
    next();
  }

  private void onChanges(ControlUpdate list, Throwable failure) {
    if (failure != null) {
      onFailure(failure);
      return;
    }
    onReached();
    version = Math.max(version, list.version());
    if (list.changes().isEmpty()) {
      next();
      return;
    }
    state.applyChanges(list);
    schedule(GATHER_MILLIS);
  }

  private void onReached() {
    pauseMillis = MIN_PAUSE_MILLIS;
    if (!reachable) {
      reachable = true;
      Logger.info("event=store-regained list={} version={}", topic, version);
      state.servers().onStoreReturned(state.clock().monotonicNanos());
    }
  }

  private void onFailure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof ControlStoreException lost && lost.isHistoryLost()) {
      Logger.warn("event=history-lost list={} version={}", topic, version);
      loaded = false;
      next();
      return;
    }
    if (reachable) {
      reachable = false;
      Logger.warn("event=store-lost list={} version={} reason=\"{}\"", topic, version, cause);
    }
    schedule(pauseMillis + random.nextLong(pauseMillis));
    pauseMillis = Math.min(2 * pauseMillis, MAX_PAUSE_MILLIS);
  }

  private void schedule(long millis) {
    loop.schedule(this::next, millis, TimeUnit.MILLISECONDS);
  }
}

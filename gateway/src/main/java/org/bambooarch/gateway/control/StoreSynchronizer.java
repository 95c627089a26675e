package org.bambooarch.gateway.control;

import io.netty.channel.EventLoop;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.gateway.ListAgeBounds;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.Topic;
import org.tinylog.Logger;

/**
 * Registers the instance in the store, keeps the control state up to date with the store's lists,
 * and has requests recorded that servers crash on.
 *
 * <p>An instance registers itself first and then reads the list of instances, so that of any two
 * that start at the same time at least one finds the other. The heartbeats of that one make it
 * known to the other, so the list of instances need not be watched.
 *
 * <p>Used on the event loop only.
 */
public final class StoreSynchronizer {

  /** Shortest time for which a registration is given before it is made once more. */
  private static final long MIN_REGISTER_PATIENCE_MILLIS = 700;

  /** Longest time for which a registration is given before it is made once more. */
  private static final long MAX_REGISTER_PATIENCE_MILLIS = 1_400;

  private final ControlStore store;
  private final ControlState state;
  private final EventLoop loop;
  private final RandomGenerator random;
  private final Map<Topic, ListWatcher> watchers = new EnumMap<>(Topic.class);
  private final StoreEra era = new StoreEra(this::onNewEra);
  private final CrashRecorder crashRecorder;
  private boolean started;
  private boolean stopped;
  private boolean registered;
  private long nextRegisterNanos;
  private boolean deregistered;

  /**
   * Creates a synchronizer that makes no calls until {@link #start()}.
   *
   * @param listAgeBounds longest ages at which the lists may be used
   * @param onConfirmed called when the store has confirmed a list, so that other instances hear of
   *     it
   */
  public StoreSynchronizer(
      ControlStore store,
      ControlState state,
      EventLoop loop,
      RandomGenerator random,
      ListAgeBounds listAgeBounds,
      Runnable onConfirmed) {
    this.store = store;
    this.state = state;
    this.loop = loop;
    this.random = random;
    this.crashRecorder = new CrashRecorder(store, state, loop);
    ListWatcher.Listener listener = listener(onConfirmed);
    for (Topic topic : List.of(Topic.OPERATOR, Topic.SERVERS)) {
      watchers.put(
          topic, new ListWatcher(topic, store, state, loop, random, era, listAgeBounds, listener));
    }
  }

  private ListWatcher.Listener listener(Runnable onConfirmed) {
    return new ListWatcher.Listener() {
      @Override
      public void onStoreHeard() {
        watchers.values().forEach(ListWatcher::onStoreHeard);
      }

      @Override
      public void onConfirmed() {
        onConfirmed.run();
      }
    };
  }

  /** Starts to watch the lists, and registers this instance. */
  public void start() {
    started = true;
    watchers.values().forEach(ListWatcher::start);
    register();
  }

  /**
   * Removes this instance from the list of instances. The lists are still watched: an instance that
   * is about to stop takes requests for some time, and works on those that it has.
   */
  public void deregister() {
    if (deregistered) {
      return;
    }
    deregistered = true;
    store
        .deregister(identity())
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                Logger.warn(
                    "event=withdraw-failed reason=\"instance may stay listed in the store: {}\"",
                    failure.toString());
              }
            });
  }

  /** Stops watching, and removes this instance from the list of instances if it is still there. */
  public void stop() {
    deregister();
    stopped = true;
    watchers.values().forEach(ListWatcher::stop);
  }

  /**
   * Asks the store for each list whose age requires it, and records crashes. Called every {@link
   * ControlState#TICK_MILLIS}.
   */
  public void tick() {
    watchers.values().forEach(ListWatcher::tick);
    if (started && !deregistered && !registered && isRegisterDue()) {
      register();
    }
    if (started && !stopped) {
      crashRecorder.tick();
    }
  }

  private boolean isRegisterDue() {
    return state.clock().monotonicNanos() - nextRegisterNanos >= 0;
  }

  /** Asks the store whether operators have written a newer configuration. */
  public CompletableFuture<Void> checkConfiguration() {
    return watchers.get(Topic.OPERATOR).check();
  }

  private void onNewEra() {
    state.onStoreReverted();
    watchers.values().forEach(ListWatcher::onNewEra);
    crashRecorder.onNewEra();
    registered = false;
    if (!deregistered) {
      register();
    }
  }

  private InstanceIdentity identity() {
    return state.fleet().self();
  }

  /**
   * Registers this instance and reads the list of instances. Repeated beside the calls in progress
   * until one of them succeeds, since a lost response would be noticed late.
   */
  private void register() {
    long patienceMillis =
        random.nextLong(MIN_REGISTER_PATIENCE_MILLIS, MAX_REGISTER_PATIENCE_MILLIS + 1);
    nextRegisterNanos = state.clock().monotonicNanos() + patienceMillis * 1_000_000L;
    long registeredEra = era.current();
    store
        .register(identity())
        .thenCompose(done -> store.read(Topic.INSTANCES))
        .whenCompleteAsync((list, failure) -> onRegistered(registeredEra, list, failure), loop);
  }

  private void onRegistered(long registeredEra, ControlUpdate list, Throwable failure) {
    if (failure == null) {
      registered |= registeredEra == era.current();
      state.replaceList(Topic.INSTANCES, list);
      Logger.info("event=announced instances={}", state.fleet().knownInstances());
      return;
    }
    Logger.warn(
        "event=announce-failed reason=\"registering or reading the instances failed,"
            + " retrying: {}\"",
        failure.toString());
  }
}

package org.bambooarch.gateway.control;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.Topic;
import org.tinylog.Logger;

/**
 * All that an instance says to the store and learns from it.
 *
 * <p>An instance lists itself first and reads the list of instances then, so that of any two that
 * start at once one at least finds the other; their heartbeats do the rest.
 */
public final class StoreSynchronizer {

  private static final long MIN_REGISTER_RETRY_MILLIS = 700;

  private final ControlStore store;
  private final ControlState state;
  private final EventLoop loop;
  private final RandomGenerator random;
  private final List<ListWatcher> watchers;
  private boolean stopped;

  /** Creates a link that does nothing yet. */
  public StoreSynchronizer(
      ControlStore store, ControlState state, EventLoop loop, RandomGenerator random) {
    this.store = store;
    this.state = state;
    this.loop = loop;
    this.random = random;
    this.watchers =
        List.of(
            new ListWatcher(Topic.OPERATOR, store, state, loop, random),
            new ListWatcher(Topic.SERVERS, store, state, loop, random));
  }

  /** Starts to follow the lists, and lists this instance. */
  public void start() {
    watchers.forEach(ListWatcher::start);
    register();
  }

  /** Ends all calls that are still to come, and takes this instance off the list. */
  public void stop() {
    stopped = true;
    watchers.forEach(ListWatcher::stop);
    store
        .deregister(identity())
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                Logger.warn("event=withdraw-failed reason=\"{}\"", failure.toString());
              }
            });
  }

  private InstanceIdentity identity() {
    return state.fleet().self();
  }

  private void register() {
    if (stopped) {
      return;
    }
    store
        .register(identity())
        .thenCompose(done -> store.read(Topic.INSTANCES))
        .whenCompleteAsync(
            (list, failure) -> {
              if (failure == null) {
                state.replaceList(Topic.INSTANCES, list);
                Logger.info("event=announced instances={}", state.fleet().knownInstances());
                return;
              }
              Logger.warn("event=announce-failed reason=\"{}\"", failure.toString());
              long retryDelayMillis =
                  MIN_REGISTER_RETRY_MILLIS + random.nextLong(MIN_REGISTER_RETRY_MILLIS);
              loop.schedule(this::register, retryDelayMillis, TimeUnit.MILLISECONDS);
            },
            loop);
  }
}

package org.bambooarch.entry.control;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.time.Clock;
import org.bambooarch.entry.request.RouteTable;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.platform.InstanceRecord;
import org.bambooarch.platform.PlatformException;
import org.bambooarch.platform.config.ConfigRepository;
import org.bambooarch.platform.http.HttpPlatform;
import org.tinylog.Logger;

/** The one thread that owns control state and publishes immutable views of it. */
public final class ControlLoop implements AutoCloseable {

  private static final long TICK_MILLIS = 500;

  private final HttpPlatform platform;
  private final ConfigRepository repository;
  private final Clock clock;
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(Thread.ofPlatform().name("control").factory());
  private volatile FleetView view = FleetView.empty();

  private ControlLoop(HttpPlatform platform, Clock clock) {
    this.platform = platform;
    this.repository = new ConfigRepository(platform);
    this.clock = clock;
  }

  /** Returns a loop over the platform that is not started yet. */
  public static ControlLoop over(HttpPlatform platform, Clock clock) {
    return new ControlLoop(platform, clock);
  }

  /**
   * Reads the configuration once and starts the loop.
   *
   * @throws PlatformException if the platform does not answer
   */
  public void start() throws PlatformException {
    try {
      refresh();
    } catch (InvalidInventoryException e) {
      Logger.error("event=configuration-unreadable reason=\"{}\"", e.getMessage());
    }
    thread.scheduleWithFixedDelay(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Returns the newest published view. */
  public FleetView view() {
    return view;
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }

  private void tick() {
    long startedNanos = clock.monotonicNanos();
    try {
      refresh();
    } catch (PlatformException | InvalidInventoryException e) {
      long elapsedMillis = (clock.monotonicNanos() - startedNanos) / 1_000_000L;
      Logger.warn(
          "event=refresh-failed elapsedMillis={} reason=\"{}\"", elapsedMillis, e.getMessage());
    }
  }

  private void refresh() throws PlatformException, InvalidInventoryException {
    FleetView before = view;
    ConfigState config = repository.catchUp(before.config());
    List<InstanceRecord> instances = platform.current();
    RouteTable routes =
        config.version() == before.config().version()
            ? before.routes()
            : RouteTable.of(config.inventory());
    view = new FleetView(config, routes, instances);
    if (config.version() != before.config().version()) {
      Logger.info("event=configuration-in-force version={}", config.version());
    }
  }
}

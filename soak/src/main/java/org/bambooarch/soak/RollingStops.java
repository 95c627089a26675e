package org.bambooarch.soak;

import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.tinylog.Logger;

/**
 * Stops all instances in turn by SIGTERM, region by region, and starts each again when its process
 * has ended. The next stop does not wait for that, unless it is the turn of an instance that is not
 * ready.
 */
final class RollingStops {

  private static final long POLL_PAUSE_MILLIS = 20;

  private final InstanceGroup instances;
  private final RunClock clock;
  private final LongAdder stops = new LongAdder();
  private final LongAdder lateStops = new LongAdder();

  RollingStops(InstanceGroup instances, RunClock clock) {
    this.instances = instances;
    this.clock = clock;
  }

  long stops() {
    return stops.sum();
  }

  /** Returns how many stops had to wait until the instance was ready. */
  long lateStops() {
    return lateStops.sum();
  }

  /** Starts to stop instances, round after round, until the end of the run. */
  void start(double pauseSeconds) {
    long pauseNanos = (long) (pauseSeconds * TimeUnit.SECONDS.toNanos(1));
    List<InstanceGroup.Instance> order =
        instances.all().stream()
            .sorted(
                Comparator.comparing(InstanceGroup.Instance::zone)
                    .thenComparing(InstanceGroup.Instance::name))
            .toList();
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                stopInTurn(order, pauseNanos);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }

  private void stopInTurn(List<InstanceGroup.Instance> order, long pauseNanos)
      throws InterruptedException {
    for (int turn = 0; ; turn++) {
      TimeUnit.NANOSECONDS.sleep(pauseNanos);
      InstanceGroup.Instance instance = order.get(turn % order.size());
      if (instance.state() != InstanceGroup.State.READY) {
        lateStops.increment();
      }
      while (instance.state() != InstanceGroup.State.READY && !clock.isOver()) {
        Thread.sleep(POLL_PAUSE_MILLIS);
      }
      if (clock.isOver()) {
        return;
      }
      Thread.ofVirtual().start(() -> restart(instance));
    }
  }

  private void restart(InstanceGroup.Instance instance) {
    try {
      if (instances.restart(instance, false)) {
        stops.increment();
      }
    } catch (IOException e) {
      Logger.error(e, "event=restart-failed instance={}", instance.name());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

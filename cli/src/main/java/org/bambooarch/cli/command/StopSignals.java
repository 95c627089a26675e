package org.bambooarch.cli.command;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import sun.misc.Signal;

/**
 * Handles SIGTERM and SIGINT.
 *
 * <p>The first signal releases the thread that waits in {@link #await()} and then shuts down
 * gracefully. Each further signal runs a callback on a signal handler's thread, so that it can cut
 * the shutdown short.
 */
final class StopSignals {

  private static final List<String> NAMES = List.of("TERM", "INT");

  private final CountDownLatch firstSignal = new CountDownLatch(1);

  private StopSignals() {}

  /**
   * Replaces the process's handlers of both signals.
   *
   * @param onFurtherSignal callback that runs on every signal after the first
   */
  static StopSignals install(Runnable onFurtherSignal) {
    StopSignals signals = new StopSignals();
    for (String name : NAMES) {
      Signal.handle(new Signal(name), signal -> signals.onSignal(onFurtherSignal));
    }
    return signals;
  }

  /** Waits for the first signal, or until this thread is interrupted. */
  void await() {
    try {
      firstSignal.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void onSignal(Runnable onFurtherSignal) {
    if (firstSignal.getCount() == 0) {
      onFurtherSignal.run();
    }
    firstSignal.countDown();
  }
}

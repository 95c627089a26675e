package org.bambooarch.cli.command;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import sun.misc.Signal;

/**
 * Turns the signals that end a process into calls.
 *
 * <p>The first signal releases the waiting thread, which stops gracefully; a further one calls back
 * at once, so that the waiting can be cut short.
 */
final class StopSignals {

  private static final List<String> NAMES = List.of("TERM", "INT");

  private final CountDownLatch firstSignal = new CountDownLatch(1);

  private StopSignals() {}

  /** Starts to listen to signals; the call-back runs on every signal after the first. */
  static StopSignals install(Runnable onFurtherSignal) {
    StopSignals signals = new StopSignals();
    for (String name : NAMES) {
      Signal.handle(new Signal(name), signal -> signals.onSignal(onFurtherSignal));
    }
    return signals;
  }

  /** Waits for the first signal. */
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

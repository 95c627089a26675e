package org.bambooarch.core.request.simulation;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.key.KeyCheck;
import org.bambooarch.core.key.KeyDigest;

/** The API keys of a simulation: key 0 stays valid, the others are withdrawn during traffic. */
final class SimulatedKeys {

  static final int COUNT = 6;

  private final SimulationContext context;
  private final List<Long> withdrawnAtNanos = new ArrayList<>();
  private ConfigState state = ConfigState.initial();

  SimulatedKeys(SimulationContext context) {
    this.context = context;
    for (int i = 0; i < COUNT; i++) {
      state = state.apply(new ConfigChange.IssueKey(KeyDigest.of(key(i)), "customer"));
      withdrawnAtNanos.add(Long.MAX_VALUE);
    }
  }

  static String key(int index) {
    return "secret-" + index + "-of-the-caller";
  }

  ConfigState state() {
    return state;
  }

  void withdraw(int index) {
    state = state.apply(new ConfigChange.WithdrawKey(KeyDigest.of(key(index))));
    withdrawnAtNanos.set(index, context.clock.monotonicNanos());
  }

  /**
   * Checks that a key that was accepted now was withdrawn at most {@link
   * KeyCheck#MAX_STALENESS_NANOS} ago.
   */
  void checkStalenessBound(String key) {
    for (int i = 0; i < COUNT; i++) {
      if (key.equals(key(i))) {
        long sinceNanos = context.clock.monotonicNanos() - withdrawnAtNanos.get(i);
        context.check(
            sinceNanos <= KeyCheck.MAX_STALENESS_NANOS,
            "key "
                + i
                + " accepted "
                + sinceNanos / SimulationContext.NANOS_PER_MILLI
                + " ms after withdrawal");
      }
    }
  }
}

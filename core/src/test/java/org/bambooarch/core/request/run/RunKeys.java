package org.bambooarch.core.request.run;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.key.KeyCheck;
import org.bambooarch.core.key.KeyDigest;

/** The keys of a run: key 0 lasts, the others are withdrawn while traffic runs. */
final class RunKeys {

  static final int COUNT = 6;

  private final RunWorld world;
  private final List<Long> withdrawnAtNanos = new ArrayList<>();
  private ConfigState state = ConfigState.initial();

  RunKeys(RunWorld world) {
    this.world = world;
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
    withdrawnAtNanos.set(index, world.clock.monotonicNanos());
  }

  /** Asserts that an accepted key was not withdrawn longer ago than the bound. */
  void checkBound(String key) {
    for (int i = 0; i < COUNT; i++) {
      if (key.equals(key(i))) {
        long sinceNanos = world.clock.monotonicNanos() - withdrawnAtNanos.get(i);
        world.check(
            sinceNanos <= KeyCheck.MAX_STALENESS_NANOS,
            "key " + i + " accepted " + sinceNanos / RunWorld.MILLI + " ms after withdrawal");
      }
    }
  }
}

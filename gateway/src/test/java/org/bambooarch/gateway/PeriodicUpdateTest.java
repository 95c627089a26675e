package org.bambooarch.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PeriodicUpdateTest {

  private final List<String> runs = new ArrayList<>();

  private PeriodicUpdate.Part part(String name) {
    return new PeriodicUpdate.Part(name, () -> runs.add(name));
  }

  // Regression: an exception in the update of the state kept the instance from asking the store and
  // from sending heartbeats, at each update.
  @Test
  void should_run_all_other_parts_at_each_update_when_one_of_them_fails() {
    PeriodicUpdate.Part failing =
        new PeriodicUpdate.Part(
            "state",
            () -> {
              throw new IllegalStateException("no such service");
            });
    PeriodicUpdate update = new PeriodicUpdate(List.of(failing, part("lists"), part("servers")));

    update.run();
    update.run();

    assertThat(runs).containsExactly("lists", "servers", "lists", "servers");
  }
}

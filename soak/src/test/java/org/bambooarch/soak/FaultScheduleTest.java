package org.bambooarch.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FaultScheduleTest {

  private static final long SEED = 7;
  private static final int DRAWS = 20_000;

  @Test
  void should_play_every_fault_in_the_course_of_a_run() {
    FaultSchedule schedule = new FaultSchedule(SEED, 1);
    Random random = new Random(SEED);
    Set<Fault> seen = EnumSet.noneOf(Fault.class);
    for (int i = 0; i < DRAWS; i++) {
      seen.add(schedule.draw((double) i / DRAWS, random));
    }
    assertThat(seen).containsExactlyInAnyOrder(Fault.values());
  }

  @Test
  void should_play_no_fault_before_the_run_or_when_the_scale_is_zero() {
    Random random = new Random(SEED);
    for (int i = 0; i < DRAWS; i++) {
      assertThat(new FaultSchedule(SEED, 1).draw(0, random)).isEqualTo(Fault.NONE);
      assertThat(new FaultSchedule(SEED, 0).draw(0.5, random)).isEqualTo(Fault.NONE);
    }
  }

  @Test
  void should_draw_the_same_intervals_when_the_seed_is_the_same() {
    assertThat(new FaultSchedule(SEED, 1).toString())
        .isEqualTo(new FaultSchedule(SEED, 1).toString())
        .isNotEqualTo(new FaultSchedule(SEED + 1, 1).toString());
  }
}

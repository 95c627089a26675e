package org.bambooarch.core.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ShareEpochTest {

  private static final MemberId A = new MemberId("a", 1);
  private static final MemberId B = new MemberId("b", 1);
  private static final MemberId C = new MemberId("c", 1);

  @Test
  void should_grant_the_recipient_exactly_what_a_dead_member_held_when_its_shares_are_reclaimed() {
    // given: a sent 400 units to b and 100 to c; b sent 50 to c; then b died
    ShareEpoch epoch = ShareEpoch.initial(A, "1").withJoined(B, "2").withJoined(C, "3");
    Map<MemberId, List<ShareBalance>> balances =
        Map.of(
            A, List.of(new ShareBalance("kerala", 400, 400)),
            C, List.of(new ShareBalance("kerala", -50, -50)));
    // when
    ShareEpoch next = epoch.withReclaimed(Set.of(B), C, balances, "4");
    // then
    assertThat(next.member(B)).isEmpty();
    assertThat(next.member(C).orElseThrow().extras())
        .containsExactly(new ShareBalance("kerala", 350, 350));
    assertThat(next.member(A).orElseThrow().settled())
        .containsExactly(new ShareBalance("kerala", -400, -400));
  }

  @Test
  void should_mark_earlier_runs_as_stopped_when_a_later_run_joins() {
    // given
    ShareEpoch epoch = ShareEpoch.initial(A, "1");
    // when
    ShareEpoch next = epoch.withJoined(new MemberId("a", 2), "2");
    // then
    assertThat(next.member(A).orElseThrow().stopped()).isTrue();
  }
}

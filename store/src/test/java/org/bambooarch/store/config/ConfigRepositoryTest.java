package org.bambooarch.store.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.store.NotAppliedException;
import org.bambooarch.store.UnknownOutcomeException;
import org.bambooarch.store.config.ConfigRepository.Head;
import org.bambooarch.store.config.ConfigRepository.ProposeResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ConfigRepositoryTest {

  private static final ConfigChange OURS = new ConfigChange.IssueKey("ours", "kerala");
  private static final ConfigChange THEIRS = new ConfigChange.IssueKey("theirs", "kerala");

  private final FaultyTables tables = new FaultyTables();
  private final ConfigRepository repository = new ConfigRepository(tables);

  private ProposeResult proposeOurs() throws Exception {
    return repository.propose(0, "id-ours", "anju", OURS);
  }

  private static ProposeResult accepted(boolean readBack) {
    return new ProposeResult.Accepted(new Head(1, "id-ours", "anju"), readBack);
  }

  @ParameterizedTest
  @EnumSource(FaultyTables.Fault.class)
  void should_accept_a_change_exactly_once_when_a_commit_fails(FaultyTables.Fault fault)
      throws Exception {
    // given
    tables.faults.add(fault);
    // when
    ProposeResult result = proposeOurs();
    // then
    boolean readBack = fault == FaultyTables.Fault.LOSE_ANSWER || fault == FaultyTables.Fault.DELAY;
    assertThat(result).isEqualTo(accepted(readBack));
    assertThat(repository.readChangesAfter(0)).containsExactly(OURS);
  }

  @Test
  void should_return_the_other_change_when_it_was_accepted_first() throws Exception {
    // given
    repository.propose(0, "id-theirs", "biju", THEIRS);
    repository.propose(1, "id-later", "biju", THEIRS);
    // when
    ProposeResult result = proposeOurs();
    // then
    assertThat(result).isEqualTo(new ProposeResult.Conflict(new Head(1, "id-theirs", "biju")));
    assertThat(repository.readChangesAfter(0)).containsExactly(THEIRS, THEIRS);
  }

  @Test
  void should_return_accepted_when_an_accepted_change_is_proposed_again_after_others()
      throws Exception {
    // given
    proposeOurs();
    repository.propose(1, "id-theirs", "biju", THEIRS);
    // when
    ProposeResult result = proposeOurs();
    // then
    assertThat(result).isEqualTo(accepted(true));
    assertThat(repository.readChangesAfter(0)).containsExactly(OURS, THEIRS);
  }

  @Test
  void should_throw_an_unknown_outcome_when_reads_fail_after_a_commit_without_response()
      throws Exception {
    // given
    tables.faults.add(FaultyTables.Fault.LOSE_ANSWER);
    tables.readsFailAfterFault = true;
    // when / then
    assertThatThrownBy(this::proposeOurs)
        .isInstanceOf(UnknownOutcomeException.class)
        .hasMessageContaining("change id-ours on top of version 0")
        .hasMessageContaining("may have been accepted");
  }

  @Test
  void should_throw_not_applied_when_every_commit_was_refused() {
    // given
    tables.faults.addAll(
        List.of(FaultyTables.Fault.REFUSE, FaultyTables.Fault.REFUSE, FaultyTables.Fault.REFUSE));
    // when / then
    assertThatThrownBy(this::proposeOurs)
        .isInstanceOf(NotAppliedException.class)
        .hasMessageContaining("was not accepted");
  }

  @Test
  void should_read_all_changes_when_they_fill_more_than_one_page() throws Exception {
    // given
    for (int version = 0; version < 1_101; version++) {
      repository.propose(version, "id-" + version, "anju", OURS);
    }
    // when
    ConfigState state = repository.catchUp(ConfigState.initial());
    // then
    assertThat(state.version()).isEqualTo(1_101);
  }
}

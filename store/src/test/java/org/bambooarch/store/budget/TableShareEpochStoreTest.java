package org.bambooarch.store.budget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bambooarch.core.budget.MemberId;
import org.bambooarch.core.budget.ShareBalance;
import org.bambooarch.core.budget.ShareEpoch;
import org.bambooarch.core.budget.ShareEpochStore.Answer;
import org.bambooarch.store.CommitResult;
import org.bambooarch.store.PlatformException;
import org.bambooarch.store.Row;
import org.bambooarch.store.TableService;
import org.bambooarch.store.UnknownOutcomeException;
import org.bambooarch.store.Write;
import org.junit.jupiter.api.Test;

class TableShareEpochStoreTest {

  private static final MemberId A = new MemberId("a", 1);
  private static final MemberId B = new MemberId("b", 1);

  private final SingleRowTable tables = new SingleRowTable();
  private final List<Answer> answers = new ArrayList<>();
  private final TableShareEpochStore store =
      new TableShareEpochStore(tables, Runnable::run, answers::add);

  @Test
  void should_read_an_equal_epoch_when_it_was_written() {
    // given
    ShareEpoch initial = ShareEpoch.initial(A, "p1").withJoined(B, "p2");
    Map<MemberId, List<ShareBalance>> balances =
        Map.of(B, List.of(new ShareBalance("kerala", -5, 7)));
    ShareEpoch epoch = initial.withReclaimed(Set.of(A), B, balances, "p3");
    // when
    store.startCompareAndSet(0, epoch);
    store.startRead(42);
    // then
    assertThat(answers)
        .containsExactly(new Answer.Written(epoch), new Answer.Read(42, Optional.of(epoch)));
  }

  @Test
  void should_report_a_conflict_when_the_row_holds_another_epoch() {
    // given
    store.startCompareAndSet(0, ShareEpoch.initial(A, "p1"));
    // when
    store.startCompareAndSet(0, ShareEpoch.initial(B, "p1"));
    // then
    assertThat(answers).last().isEqualTo(new Answer.Conflict());
  }

  @Test
  void should_report_an_unknown_outcome_when_the_response_of_the_table_is_lost() {
    // given
    tables.failsAfterCommit = true;
    // when
    store.startCompareAndSet(0, ShareEpoch.initial(A, "p1"));
    // then
    assertThat(answers).containsExactly(new Answer.Unknown());
  }

  @Test
  void should_throw_an_error_with_the_expected_form_when_the_text_is_not_an_epoch() {
    assertThatThrownBy(() -> ShareEpochJson.read("[]"))
        .isInstanceOf(ShareEpochFormatException.class)
        .hasMessageContaining("expected a share epoch as JSON");
  }

  /** One row in memory; a commit can take effect and then fail as if its response were lost. */
  private static final class SingleRowTable implements TableService {

    private Row row;
    private boolean failsAfterCommit;

    @Override
    public Optional<Row> read(String table, String key) {
      return Optional.ofNullable(row);
    }

    @Override
    public List<Row> scan(String table, String keyPrefix, String afterKey, int limit) {
      return List.of();
    }

    @Override
    public CommitResult commit(List<Write> writes) throws PlatformException {
      String value =
          switch (writes.get(0)) {
            case Write.Insert insert -> insert.value();
            case Write.Replace replace -> replace.value();
            case Write.Delete delete -> "";
          };
      row = new Row("budgets", "share-epoch", 1, value);
      if (failsAfterCommit) {
        throw new UnknownOutcomeException("response lost after the commit took effect", null);
      }
      return new CommitResult.Committed(List.of(row));
    }
  }
}

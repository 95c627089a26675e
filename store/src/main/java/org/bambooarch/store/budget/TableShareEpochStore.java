package org.bambooarch.store.budget;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.bambooarch.core.budget.ShareEpoch;
import org.bambooarch.core.budget.ShareEpochStore;
import org.bambooarch.store.CommitResult;
import org.bambooarch.store.NotAppliedException;
import org.bambooarch.store.PlatformException;
import org.bambooarch.store.Row;
import org.bambooarch.store.TableService;
import org.bambooarch.store.UnknownOutcomeException;
import org.bambooarch.store.Write;

/**
 * Keeps the share epoch in one row of the platform's table service: the row {@code share-epoch} of
 * the table {@code budgets}.
 *
 * <p>Calls return at once; the table is accessed on another thread, which passes on the result.
 *
 * <pre>{@code
 * new TableShareEpochStore(tables, virtualThreads, answer -> control.execute(
 *     () -> budgets.onStoreAnswer(answer)));
 * }</pre>
 */
public final class TableShareEpochStore implements ShareEpochStore {

  private static final String TABLE = "budgets";
  private static final String ROW_KEY = "share-epoch";

  private final TableService tables;
  private final Executor blockingExecutor;
  private final Consumer<Answer> answerConsumer;

  /**
   * Creates the store.
   *
   * @param tables the platform's table service
   * @param blockingExecutor runs the blocking calls of the table, for example on virtual threads
   * @param answerConsumer receives each result on a thread of that executor and passes it to the
   *     control thread
   */
  public TableShareEpochStore(
      TableService tables, Executor blockingExecutor, Consumer<Answer> answerConsumer) {
    this.tables = tables;
    this.blockingExecutor = blockingExecutor;
    this.answerConsumer = answerConsumer;
  }

  @Override
  public void startRead(long startedNanos) {
    blockingExecutor.execute(() -> read(startedNanos));
  }

  @Override
  public void startCompareAndSet(long expectedEpoch, ShareEpoch next) {
    blockingExecutor.execute(() -> answerConsumer.accept(compareAndSet(expectedEpoch, next)));
  }

  /** Reads the row; if that fails, the result is {@code Unknown} and a later read shows the row. */
  private void read(long startedNanos) {
    try {
      Optional<Row> row = tables.read(TABLE, ROW_KEY);
      Optional<ShareEpoch> epoch =
          row.isEmpty() ? Optional.empty() : Optional.of(ShareEpochJson.read(row.get().value()));
      answerConsumer.accept(new Answer.Read(startedNanos, epoch));
    } catch (PlatformException | ShareEpochFormatException e) {
      answerConsumer.accept(new Answer.Unknown());
    }
  }

  private Answer compareAndSet(long expectedEpoch, ShareEpoch next) {
    try {
      Optional<Row> row = tables.read(TABLE, ROW_KEY);
      long storedEpoch = row.isEmpty() ? 0 : ShareEpochJson.read(row.get().value()).number();
      if (storedEpoch != expectedEpoch) {
        return new Answer.Conflict();
      }
      return switch (tables.commit(List.of(write(row, next)))) {
        case CommitResult.Committed committed -> new Answer.Written(next);
        case CommitResult.Conflict conflict -> new Answer.Conflict();
      };
    } catch (NotAppliedException e) {
      return new Answer.Conflict();
    } catch (UnknownOutcomeException | ShareEpochFormatException e) {
      return new Answer.Unknown();
    } catch (PlatformException e) {
      throw new IllegalStateException("a platform failure is neither not applied nor unknown", e);
    }
  }

  private static Write write(Optional<Row> row, ShareEpoch next) {
    String json = ShareEpochJson.write(next);
    return row.isEmpty() ? Write.insert(TABLE, ROW_KEY, json) : Write.replace(row.get(), json);
  }
}

package org.bambooarch.entry.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.bambooarch.core.budget.ShareEpoch;
import org.bambooarch.core.budget.ShareEpochStore;
import org.bambooarch.platform.CommitResult;
import org.bambooarch.platform.PlatformException;
import org.bambooarch.platform.Row;
import org.bambooarch.platform.TableService;
import org.bambooarch.platform.Write;
import org.tinylog.Logger;

/** The share epoch as a row of the platform's table; each call runs on its own virtual thread. */
final class ShareEpochTable implements ShareEpochStore {

  private static final String TABLE = "budgets";
  private static final String KEY = "epoch";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final TableService tables;
  private final Consumer<Answer> answers;

  ShareEpochTable(TableService tables, Consumer<Answer> answers) {
    this.tables = tables;
    this.answers = answers;
  }

  @Override
  public void startRead(long startedNanos) {
    Thread.startVirtualThread(() -> read(startedNanos));
  }

  @Override
  public void startCompareAndSet(long expectedEpoch, ShareEpoch next) {
    Thread.startVirtualThread(() -> answers.accept(compareAndSet(expectedEpoch, next)));
  }

  private void read(long startedNanos) {
    try {
      Optional<Row> row = tables.read(TABLE, KEY);
      Optional<ShareEpoch> epoch =
          row.isPresent() ? Optional.of(parse(row.get())) : Optional.empty();
      answers.accept(new Answer.Read(startedNanos, epoch));
    } catch (PlatformException | JsonProcessingException e) {
      // An answer that never comes is allowed; the budgets ask again at the next interval.
      Logger.debug("event=share-epoch-unread reason=\"{}\"", e.getMessage());
    }
  }

  private Answer compareAndSet(long expectedEpoch, ShareEpoch next) {
    try {
      Optional<Row> row = tables.read(TABLE, KEY);
      long storedEpoch = row.isPresent() ? parse(row.get()).number() : 0;
      if (storedEpoch != expectedEpoch) {
        return new Answer.Conflict();
      }
      String json = MAPPER.writeValueAsString(next);
      Write write =
          row.isPresent() ? Write.replace(row.get(), json) : Write.insert(TABLE, KEY, json);
      return switch (tables.commit(List.of(write))) {
        case CommitResult.Committed committed -> new Answer.Written(next);
        case CommitResult.Conflict conflict -> new Answer.Conflict();
      };
    } catch (PlatformException | JsonProcessingException e) {
      Logger.debug("event=share-epoch-unwritten reason=\"{}\"", e.getMessage());
      return new Answer.Unknown();
    }
  }

  private static ShareEpoch parse(Row row) throws JsonProcessingException {
    return MAPPER.readValue(row.value(), ShareEpoch.class);
  }
}

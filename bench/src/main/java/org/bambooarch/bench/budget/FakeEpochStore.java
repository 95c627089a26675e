package org.bambooarch.bench.budget;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bambooarch.core.budget.ShareEpoch;
import org.bambooarch.core.budget.ShareEpochStore;

/**
 * A fake of the platform's table that holds the epoch row, with compare-and-set, delays, outages
 * and lost requests and answers.
 *
 * <p>A request that is lost or arrives during an outage gets no answer. If the answer of an
 * executed request is lost, the instance gets {@link ShareEpochStore.Answer.Unknown}.
 */
final class FakeEpochStore {

  private static final long DELAY_NANOS = 30_000_000L;

  private final FleetEventQueue events;
  private final RandomGenerator random;
  private Optional<ShareEpoch> row = Optional.empty();
  private boolean available = true;
  private double lossRate;

  FakeEpochStore(FleetEventQueue events, RandomGenerator random) {
    this.events = events;
    this.random = random;
  }

  void setAvailable(boolean available) {
    this.available = available;
  }

  void setLossRate(double lossRate) {
    this.lossRate = lossRate;
  }

  Optional<ShareEpoch> row() {
    return row;
  }

  /** Returns the connection of one instance to this store; the consumer receives the answers. */
  ShareEpochStore connection(Consumer<ShareEpochStore.Answer> answers) {
    return new ShareEpochStore() {
      @Override
      public void startRead(long startedNanos) {
        call(answers, () -> new Answer.Read(startedNanos, row));
      }

      @Override
      public void startCompareAndSet(long expectedEpoch, ShareEpoch next) {
        call(answers, () -> compareAndSet(expectedEpoch, next));
      }
    };
  }

  private ShareEpochStore.Answer compareAndSet(long expectedEpoch, ShareEpoch next) {
    if (row.map(ShareEpoch::number).orElse(0L) != expectedEpoch) {
      return new ShareEpochStore.Answer.Conflict();
    }
    row = Optional.of(next);
    return new ShareEpochStore.Answer.Written(next);
  }

  private void call(
      Consumer<ShareEpochStore.Answer> answers,
      java.util.function.Supplier<ShareEpochStore.Answer> operation) {
    if (!available || random.nextDouble() < lossRate) {
      return;
    }
    long delayNanos = DELAY_NANOS + (long) (random.nextDouble() * DELAY_NANOS);
    events.after(delayNanos, () -> deliverAnswer(answers, operation.get()));
  }

  private void deliverAnswer(
      Consumer<ShareEpochStore.Answer> answers, ShareEpochStore.Answer answer) {
    if (random.nextDouble() < lossRate) {
      events.after(DELAY_NANOS, () -> answers.accept(new ShareEpochStore.Answer.Unknown()));
      return;
    }
    events.after(DELAY_NANOS, () -> answers.accept(answer));
  }
}

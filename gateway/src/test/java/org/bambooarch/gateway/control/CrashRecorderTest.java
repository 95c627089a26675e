package org.bambooarch.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.bambooarch.core.steering.fleet.CrashRecord;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.ControlUpdate;
import org.bambooarch.gateway.spi.RecordedCrashes;
import org.bambooarch.gateway.spi.Topic;
import org.junit.jupiter.api.Test;

class CrashRecorderTest {

  private static final long REQUEST_HASH = 7;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Time of the store's clock when the test starts. */
  private static final long STORE_START_MILLIS = 1_000_000;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ManualClock clock = ManualClock.startingAtZero();
  private final RecordStore store = new RecordStore();

  /** A store that keeps records, and fails on request. */
  private final class RecordStore implements ControlStore {
    private final TreeMap<Long, CrashRecord> records = new TreeMap<>();
    private boolean fails;
    private int reads;
    private int writes;

    @Override
    public CompletableFuture<RecordedCrashes> readCrashes() {
      reads++;
      return fails
          ? CompletableFuture.failedFuture(new IOException("connection reset"))
          : CompletableFuture.completedFuture(
              new RecordedCrashes(storeMillis(), List.copyOf(records.values())));
    }

    @Override
    public CompletableFuture<Void> recordCrashes(List<CrashRecord> changed) {
      writes++;
      if (fails) {
        return CompletableFuture.failedFuture(new IOException("connection reset"));
      }
      for (CrashRecord record : changed) {
        records.put(record.requestHash(), record);
        if (record.crashes().isEmpty()) {
          records.remove(record.requestHash());
        }
      }
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<ControlUpdate> read(Topic topic) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<ControlUpdate> watch(Topic topic, long after, long waitMillis) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> register(InstanceIdentity instance) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> deregister(InstanceIdentity instance) {
      throw new UnsupportedOperationException();
    }
  }

  /** One run of an instance. */
  private final class Run {
    private final ControlState state = new ControlState(ListWatcherTest.settings(), clock);
    private final CrashRecorder recorder = new CrashRecorder(store, state, channel.eventLoop());

    private Run hearStore() {
      ControlUpdate list = new ControlUpdate(0, 1, 0, storeMillis(), List.of());
      state.onListRead(Topic.SERVERS, list, clock.monotonicNanos());
      return this;
    }

    private void tick(int count) {
      for (int i = 0; i < count; i++) {
        recorder.tick();
        channel.runPendingTasks();
        clock.advanceMillis(ControlState.TICK_MILLIS);
      }
    }

    /** Sends the request 10 ms after what was before, and loses its server at once. */
    private void crash(int serverHash) {
      clock.advanceMillis(10);
      state
          .crashes()
          .onServerCrash(
              REQUEST_HASH, serverHash, clock.monotonicNanos() - 1, clock.monotonicNanos());
    }

    private boolean maySend() {
      return state.crashes().maySend(REQUEST_HASH, clock.monotonicNanos());
    }
  }

  private Run start() {
    return new Run().hearStore();
  }

  private long storeMillis() {
    return STORE_START_MILLIS + clock.monotonicNanos() / NANOS_PER_MILLI;
  }

  private static List<Long> crashMillis(CrashRecord record) {
    return record.crashes().stream().map(CrashRecord.Crash::storeMillis).toList();
  }

  // Regression: a request that had crashed three servers crashed others after each restart.
  @Test
  void should_block_a_request_when_the_instance_is_restarted_after_three_crashes() {
    Run run = start();
    run.tick(1);
    run.crash(1);
    run.crash(2);
    clock.advanceMillis(10_000);
    run.crash(3);
    run.tick(1);
    assertThat(store.records.values())
        .singleElement()
        .extracting(CrashRecord::crashes)
        .asList()
        .hasSize(3);

    for (int i = 0; i < 3; i++) {
      clock.advanceMillis(60_000);
      Run restarted = start();
      assertThat(restarted.maySend()).isTrue();
      restarted.tick(1);
      assertThat(restarted.maySend()).isFalse();
    }
  }

  @Test
  void should_date_crashes_by_the_clock_of_the_store() {
    clock.advanceMillis(5_000);
    Run run = start();
    run.tick(1);
    run.crash(1);
    clock.advanceMillis(2_000);
    run.crash(2);
    run.tick(1);

    assertThat(crashMillis(store.records.get(REQUEST_HASH)))
        .containsExactly(STORE_START_MILLIS + 5_110, STORE_START_MILLIS + 7_120);
  }

  @Test
  void should_make_no_call_when_nothing_has_changed() {
    start().tick(100);

    assertThat(store.reads).isEqualTo(1);
    assertThat(store.writes).isZero();
  }

  @Test
  void should_make_no_call_before_the_store_has_stated_its_time() {
    new Run().tick(10);

    assertThat(store.reads).isZero();
  }

  @Test
  void should_read_before_it_records_when_the_store_fails_at_first() {
    store.records.put(
        REQUEST_HASH,
        new CrashRecord(REQUEST_HASH, List.of(new CrashRecord.Crash(9, STORE_START_MILLIS))));
    store.fails = true;
    Run run = start();
    run.tick(1);
    run.crash(1);
    run.crash(2);
    run.tick(21);
    assertThat(store.reads).isEqualTo(3);
    assertThat(store.writes).isZero();

    store.fails = false;
    run.tick(11);
    assertThat(store.records.get(REQUEST_HASH).crashes()).hasSize(3);
  }

  @Test
  void should_record_again_after_a_second_when_a_call_failed() {
    Run run = start();
    run.tick(1);
    store.fails = true;
    run.crash(1);
    run.crash(2);
    run.tick(5);
    assertThat(store.writes).isEqualTo(1);

    store.fails = false;
    run.tick(10);
    assertThat(store.records).containsOnlyKeys(REQUEST_HASH);
  }

  @Test
  void should_remove_the_record_when_the_request_got_a_complete_response() {
    Run run = start();
    run.tick(1);
    run.crash(1);
    run.crash(2);
    run.tick(1);
    run.state.crashes().onAnswered(REQUEST_HASH);
    run.tick(1);

    assertThat(store.records).isEmpty();
  }

  @Test
  void should_record_again_when_the_store_returned_from_an_older_copy() {
    Run run = start();
    run.tick(1);
    run.crash(1);
    run.crash(2);
    run.tick(1);
    store.records.clear();
    run.recorder.onNewEra();
    run.tick(1);

    assertThat(store.records).containsOnlyKeys(REQUEST_HASH);
  }
}

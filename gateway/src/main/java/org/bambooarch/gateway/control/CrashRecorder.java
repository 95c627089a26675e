package org.bambooarch.gateway.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.bambooarch.core.steering.fleet.CrashHistory;
import org.bambooarch.core.steering.fleet.CrashRecord;
import org.bambooarch.gateway.spi.ControlStore;
import org.bambooarch.gateway.spi.RecordedCrashes;
import org.tinylog.Logger;

/**
 * Keeps the requests that servers crash on in the platform's store, and reads them when the
 * instance has started.
 *
 * <p>One call at a time. Nothing is recorded before the records are read, since a record is
 * replaced as a whole.
 *
 * <p>Used on the event loop only.
 */
final class CrashRecorder {

  /** Time after a failed call until the next one, in nanoseconds: 1 s. */
  private static final long RETRY_NANOS = 1_000_000_000L;

  /** Largest number of records that one call writes: the rows that the store takes at once. */
  private static final int MAX_RECORDS_PER_CALL = 100;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlStore store;
  private final ControlState state;
  private final EventLoop loop;
  private boolean read;
  private boolean calling;
  private long nextCallNanos;

  /** Creates a recorder that makes no calls until the first {@link #tick}. */
  CrashRecorder(ControlStore store, ControlState state, EventLoop loop) {
    this.store = store;
    this.state = state;
    this.loop = loop;
    this.nextCallNanos = nowNanos();
  }

  /** Makes the next call if one is due. Called every {@link ControlState#TICK_MILLIS}. */
  void tick() {
    // Records are dated by the store's clock, which is known when it has responded once.
    boolean due = nowNanos() - nextCallNanos >= 0 && state.storeMillisAt(nowNanos()).isPresent();
    if (calling || !due) {
      return;
    }
    if (!read) {
      call(store.readCrashes(), this::onRead, this::onReadFailed);
      return;
    }
    List<Long> requestHashes = state.crashes().takeUnrecorded(MAX_RECORDS_PER_CALL);
    if (!requestHashes.isEmpty()) {
      call(
          store.recordCrashes(requestHashes.stream().map(this::recordOf).toList()),
          done -> onRecorded(requestHashes),
          failure -> onRecordingFailed(requestHashes, failure));
    }
  }

  /** Records all crashes again, since the store has returned from an older copy. */
  void onNewEra() {
    state.crashes().onRecordsLost();
  }

  private <T> void call(
      CompletableFuture<T> response, Consumer<T> onSuccess, Consumer<Throwable> onFailure) {
    calling = true;
    response
        .whenCompleteAsync((result, failure) -> calling = false, loop)
        .thenAccept(onSuccess)
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                nextCallNanos = nowNanos() + RETRY_NANOS;
                onFailure.accept(failure);
              }
            });
  }

  private void onRead(RecordedCrashes recorded) {
    for (CrashRecord record : recorded.records()) {
      List<CrashHistory.Crash> crashes = new ArrayList<>();
      for (CrashRecord.Crash crash : record.crashes()) {
        long ageMillis = Math.max(0, recorded.storeMillis() - crash.storeMillis());
        crashes.add(
            new CrashHistory.Crash(crash.serverHash(), nowNanos() - ageMillis * NANOS_PER_MILLI));
      }
      state.crashes().onRecorded(record.requestHash(), crashes, nowNanos());
    }
    read = true;
    Logger.info("event=crashes-read requests={}", recorded.records().size());
  }

  private void onReadFailed(Throwable failure) {
    Logger.warn(
        "event=crashes-not-read reason=\"requests that crash servers may be sent, trying again:"
            + " {}\"",
        failure.toString());
  }

  private CrashRecord recordOf(long requestHash) {
    List<CrashRecord.Crash> crashes = new ArrayList<>();
    for (CrashHistory.Crash crash : state.crashes().crashesOf(requestHash)) {
      long storeMillis = state.storeMillisAt(crash.nanos()).orElseThrow();
      crashes.add(new CrashRecord.Crash(crash.serverHash(), storeMillis));
    }
    return new CrashRecord(requestHash, crashes);
  }

  private static void onRecorded(List<Long> requestHashes) {
    Logger.info("event=crashes-recorded requests={}", requestHashes.size());
  }

  private void onRecordingFailed(List<Long> requestHashes, Throwable failure) {
    requestHashes.forEach(state.crashes()::onRecordingFailed);
    Logger.warn(
        "event=crashes-not-recorded requests={} reason=\"trying again: {}\"",
        requestHashes.size(),
        failure.toString());
  }

  private long nowNanos() {
    return state.clock().monotonicNanos();
  }
}

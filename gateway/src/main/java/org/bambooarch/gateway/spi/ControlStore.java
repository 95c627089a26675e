package org.bambooarch.gateway.spi;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.bambooarch.core.steering.fleet.CrashRecord;
import org.bambooarch.core.steering.fleet.InstanceIdentity;

/**
 * Client of the platform's store, which holds the lists that control the gateway.
 *
 * <p>No call blocks. The futures fail with {@link ControlStoreException} if the store responded but
 * gave no result, or with the transport's exception if no response arrived; in the latter case the
 * call may have taken effect. Futures may complete on any thread.
 */
public interface ControlStore {

  /**
   * Time after which a call that does not ask the store to wait fails if no response has begun, in
   * milliseconds. The store may have to queue it. Other calls are made in the meantime.
   */
  long RESPONSE_TIMEOUT_MILLIS = 2_500;

  /**
   * Time after which a call that asks the store to wait fails if no response has begun, in
   * milliseconds, in addition to that wait.
   */
  long WATCH_RESPONSE_TIMEOUT_MILLIS = 1_000;

  /** Returns the time after which a call of {@link #watch} fails without response. */
  static long watchTimeoutMillis(long waitMillis) {
    return waitMillis == 0 ? RESPONSE_TIMEOUT_MILLIS : waitMillis + WATCH_RESPONSE_TIMEOUT_MILLIS;
  }

  /** Reads the full list. */
  CompletableFuture<ControlUpdate> read(Topic topic);

  /**
   * Returns the changes of a list after a version, as soon as there are any (long polling). Fails
   * with a {@link ControlStoreException} whose {@link ControlStoreException#isHistoryLost()} is
   * true if the store no longer has the changes after that version.
   *
   * @param afterVersion version of the newest change that is known
   * @param waitMillis longest time to wait for a change, in milliseconds; without a change until
   *     then, the update is empty; 0 to ask for the changes so far
   */
  CompletableFuture<ControlUpdate> watch(Topic topic, long afterVersion, long waitMillis);

  /** Adds an instance to the list of instances, or replaces its entry. */
  CompletableFuture<Void> register(InstanceIdentity instance);

  /** Removes an instance from the list of instances. */
  CompletableFuture<Void> deregister(InstanceIdentity instance);

  /** Reads the recorded crashes of all requests. By default, there are none. */
  default CompletableFuture<RecordedCrashes> readCrashes() {
    return CompletableFuture.completedFuture(new RecordedCrashes(0, List.of()));
  }

  /**
   * Replaces the records of requests, and removes those of requests without crashes: all of them or
   * none. By default, nothing is recorded.
   *
   * @param records at most 100
   */
  default CompletableFuture<Void> recordCrashes(List<CrashRecord> records) {
    return CompletableFuture.completedFuture(null);
  }

  /**
   * Returns a client whose calls go through another instance, which passes them on to the store.
   * For {@link #read} and for calls of {@link #watch} that do not wait.
   *
   * @return the client; empty if this store cannot be asked through other instances
   */
  default Optional<ControlStore> through(InstanceIdentity instance) {
    return Optional.empty();
  }

  /**
   * Passes on a call that another instance makes through this one.
   *
   * @param target path and query of the call, as {@link #through} of the other instance sends them
   * @return the store's response, or one with a status that is no success
   */
  default HttpResponse forward(String target) {
    return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
  }
}

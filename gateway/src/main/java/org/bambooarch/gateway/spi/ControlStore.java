package org.bambooarch.gateway.spi;

import java.util.concurrent.CompletableFuture;
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
   * Time after which a call of {@link #watch} fails if no response has begun, in milliseconds, in
   * addition to the time for which it asks the store to wait. The store responds within
   * milliseconds, and until then a lost response goes unnoticed.
   */
  long WATCH_RESPONSE_TIMEOUT_MILLIS = 1_000;

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
}

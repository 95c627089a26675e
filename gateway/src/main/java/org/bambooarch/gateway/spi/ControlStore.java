package org.bambooarch.gateway.spi;

import java.util.concurrent.CompletableFuture;
import org.bambooarch.core.steering.fleet.InstanceIdentity;

/**
 * The platform's store, as far as the gateway needs it.
 *
 * <p>No call waits. Futures fail with {@link ControlStoreException}, or with the transport's error
 * if no answer came; the call may then have taken effect.
 */
public interface ControlStore {

  /** Reads a whole list. */
  CompletableFuture<ControlUpdate> read(Topic topic);

  /**
   * Returns the changes of a list after a version, as soon as there are any.
   *
   * @param waitMillis longest time to wait for a change, in milliseconds
   */
  CompletableFuture<ControlUpdate> watch(Topic topic, long afterVersion, long waitMillis);

  /** Lists an instance. */
  CompletableFuture<Void> register(InstanceIdentity instance);

  /** Takes an instance off the list. */
  CompletableFuture<Void> deregister(InstanceIdentity instance);
}

package org.bambooarch.gateway.control;

import java.util.concurrent.CompletableFuture;

/** Asks the store whether the configuration in force is the newest one. */
@FunctionalInterface
public interface ConfigurationCheck {

  /**
   * Asks the store and applies a newer configuration. Called on the event loop only.
   *
   * @return a future that completes on the event loop, also if the store did not respond; what was
   *     learned is in the {@link ControlState}
   */
  CompletableFuture<Void> check();
}

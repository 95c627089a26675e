package org.bambooarch.gateway;

import java.util.List;
import org.tinylog.Logger;

/**
 * Runs the parts of a periodic update in order. A part that fails keeps none of the others from
 * running: the store must be asked and heartbeats sent whatever else goes wrong.
 */
final class PeriodicUpdate implements Runnable {

  /** One part, with its name in the log. */
  record Part(String name, Runnable action) {}

  private final List<Part> parts;

  PeriodicUpdate(List<Part> parts) {
    this.parts = List.copyOf(parts);
  }

  @Override
  public void run() {
    parts.forEach(PeriodicUpdate::run);
  }

  private static void run(Part part) {
    try {
      part.action().run();
    } catch (RuntimeException e) {
      Logger.error(
          e,
          "event=tick-failed part={} reason=\"periodic update failed, continuing with the next"
              + " part\"",
          part.name());
    }
  }
}

package org.bambooarch.core.inventory;

/** The priority of a route's requests under load, highest first. */
public enum PriorityClass {
  /** Orders, assignments and look-ups that a person at a counter waits for. */
  COUNTER,
  /** Interactive reads that can be repeated. */
  BROWSE,
  /** Bulk reads that can be deferred and only have to finish before a given time of day. */
  BULK
}

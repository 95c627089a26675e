package org.bambooarch.core.inventory;

/** The rank of a route's requests under load, highest first. */
public enum PriorityClass {
  /** Orders, assignments and look-ups that a person at a counter waits for. */
  COUNTER,
  /** Interactive reading that can be repeated. */
  BROWSE,
  /** Deferrable bulk reads that only have to finish before a stated time of day. */
  BULK
}

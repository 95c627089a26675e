package org.bambooarch.core.routing;

/** The outcome of {@link TargetChooser#choose}: a server, or why there is none. */
public sealed interface Choice permits ChosenServer, Choice.NoRoom, Choice.NoTarget {

  /**
   * The route has available servers, but none can take one more request now: the concurrency limits
   * are reached, servers that shed load are paused, or the free slots are in another region that is
   * not in use yet or whose link budget is used up.
   */
  record NoRoom() implements Choice {}

  /** The route has no available server: all are drained, ejected or excluded. */
  record NoTarget() implements Choice {}
}

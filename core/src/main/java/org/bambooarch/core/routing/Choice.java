package org.bambooarch.core.routing;

/** The result of looking for a target server. */
public sealed interface Choice permits ChosenServer, Choice.NoRoom, Choice.NoTarget {

  /** Servers are in use for the route, but none has room for one more request now. */
  record NoRoom() implements Choice {}

  /** No server of the route is in use: all are drained, ejected or excluded. */
  record NoTarget() implements Choice {}
}

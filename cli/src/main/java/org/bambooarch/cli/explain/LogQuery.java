package org.bambooarch.cli.explain;

/** What the logs are asked. */
public sealed interface LogQuery {

  /** What became of a request. */
  record ByRequest(String id) implements LogQuery {}

  /** What instances saw of a server. */
  record ByServer(String id) implements LogQuery {}

  /** When instances took in a version of the configuration, and what ran with it. */
  record ByVersion(String version) implements LogQuery {}
}

package org.bambooarch.cli.explain;

/** A query about the logs of instances. */
public sealed interface LogQuery {

  /** How a request ended and why. */
  record ByRequest(String id) implements LogQuery {}

  /** What instances logged about a server. */
  record ByServer(String id) implements LogQuery {}

  /** When instances applied a version of the configuration. */
  record ByVersion(String version) implements LogQuery {}
}

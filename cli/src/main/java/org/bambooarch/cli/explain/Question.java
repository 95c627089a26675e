package org.bambooarch.cli.explain;

/** What the logs are asked. */
public sealed interface Question {

  /** What became of a request. */
  record OfRequest(String id) implements Question {}

  /** What instances saw of a server. */
  record OfServer(String id) implements Question {}

  /** When instances took in a version of the configuration, and what ran with it. */
  record OfVersion(String version) implements Question {}
}

package org.bambooarch.cli.explain;

/** What the end of a request means, in a sentence for whoever is on call. */
final class OutcomeDescriptions {

  static final String NO_LINE_FOUND =
      "cause: unknown, no line was written about this request. It was answered and not sampled, or"
          + " one of the suppressed lines above, or never reached these instances.";

  private OutcomeDescriptions() {}

  /** Returns the sentence for the last line about a request. */
  static String describe(LogLine last) {
    return switch (last.field("outcome")) {
      case "answered" -> "none, server " + last.field("server") + " answered " + elapsed(last);
      case "server-failure" ->
          "server " + last.field("server") + " itself answered with " + last.field("status");
      case "no-configuration" ->
          "the instance knew no configuration or no servers yet; see its start or store-lost";
      case "no-route" ->
          "no route for " + last.field("path") + " in version " + last.field("config");
      case "key-rejected" -> "no customer holds the key in version " + last.field("config");
      case "too-large" -> "the body is over the limit of version " + last.field("config");
      case "over-rate" -> overRate(last);
      case "crashes-servers" -> "the same request ended with the death of servers before";
      case "no-room" -> noRoom(last);
      case "rejected" ->
          "server " + last.field("server") + " did not run it, and no other was tried";
      case "stopping" -> "the instance was about to stop";
      case "timed-out" ->
          "no answer of server "
              + last.field("server")
              + " in time; it may have run "
              + elapsed(last);
      case "lost" ->
          "the connection to server %s ended (%s), so nobody knows whether it ran"
              .formatted(last.field("server"), last.field("cause"));
      case "caller-left" -> "the caller left " + elapsed(last);
      case "" -> "not known yet, the last line is of a failed attempt at " + last.field("server");
      default -> "outcome " + last.field("outcome") + " has no explanation here";
    };
  }

  private static String elapsed(LogLine last) {
    return "(after " + last.field("took-millis") + " ms)";
  }

  private static String noRoom(LogLine last) {
    return ("%s of %s open servers were usable; in region %s %s were cold, %s warm for the object,"
            + " where the shortest wait was %s ms of %s allowed and an answer was expected in %s ms"
            + " of %s left")
        .formatted(
            last.field("usable"),
            last.field("open"),
            last.field("region"),
            last.field("cold"),
            last.field("candidates"),
            last.field("shortest-wait-millis"),
            last.field("longest-wait-millis"),
            last.field("answer-millis"),
            last.field("remaining-millis"));
  }

  private static String overRate(LogLine last) {
    return ("customer %s: %s admitted in the window of a limit of %s,"
            + " %s tokens left here of a share of %s/s")
        .formatted(
            last.field("customer"),
            last.field("admitted-in-window"),
            last.field("limit-per-window"),
            last.field("tokens"),
            last.field("share-per-second"));
  }
}

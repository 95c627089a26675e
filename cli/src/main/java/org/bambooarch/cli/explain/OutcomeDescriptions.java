package org.bambooarch.cli.explain;

/** Describes for operators why a request ended as its last log line says. */
final class OutcomeDescriptions {

  /** Conclusion for a request that the logs do not mention. */
  static final String NO_LINE_FOUND =
      "cause: unknown, no line was written about this request. It was answered and not sampled, or"
          + " its line is among the suppressed ones above, or it never reached these instances.";

  private OutcomeDescriptions() {}

  /** Returns the description of the outcome in the last line about a request. */
  static String describe(LogLine last) {
    return switch (last.field("outcome")) {
      case "answered" ->
          "none, server %s answered %s%s"
              .formatted(last.field("server"), elapsed(last), attempts(last));
      case "server-failure" ->
          "server " + last.field("server") + " itself answered with " + last.field("status");
      case "no-configuration" ->
          "the instance had no configuration or no servers yet; see its started and store-lost";
      case "configuration-outdated" ->
          "version %s does not permit it (%s), but a newer one may; see store-lost and configured"
              .formatted(last.field("config"), last.field("refused-as"));
      case "no-route" ->
          "no route for " + last.field("path") + " in version " + last.field("config");
      case "key-rejected" -> "no customer holds the key in version " + last.field("config");
      case "too-large" -> "the body is over the limit of version " + last.field("config");
      case "over-rate" -> overRate(last);
      case "crashes-servers" -> "servers crashed after earlier sends of the same request";
      case "no-room" -> noRoom(last);
      case "rejected" ->
          "server " + last.field("server") + " did not run it, and no other server was tried";
      case "overloaded" ->
          "the instance was %s ms behind, so the caller may have given the request up"
              .formatted(last.field("lag-millis"));
      case "stopping" -> "the instance was stopping";
      case "timed-out" ->
          "no answer from server "
              + last.field("server")
              + " in time "
              + elapsed(last)
              + "; the request may have run";
      case "lost" ->
          "the connection to server %s ended (%s), so it is not known whether the request ran"
              .formatted(last.field("server"), last.field("cause"));
      case "caller-left" -> "the caller left before the request ended " + elapsed(last);
      case "" -> unfinished(last);
      default -> "outcome " + last.field("outcome") + " has no explanation here";
    };
  }

  private static String unfinished(LogLine last) {
    String kind =
        last.event().equals("outside-homes") ? "an attempt outside its homes" : "a failed attempt";
    return "not known yet, the last line is about %s at server %s"
        .formatted(kind, last.field("server"));
  }

  /** Returns the attempts of a request that had more than one. */
  private static String attempts(LogLine last) {
    String attempts = last.field("attempts");
    return attempts.contains(",") ? "; the attempts in order were " + attempts : "";
  }

  private static String elapsed(LogLine last) {
    return "(after " + last.field("took-millis") + " ms)";
  }

  private static String noRoom(LogLine last) {
    return ("%s of %s available servers were usable; in region %s, %s were cold and had had their"
            + " share of requests, and %s were candidates for the object; the shortest wait at a"
            + " candidate was %s ms (%s ms allowed); an answer was expected in %s ms (%s ms left)")
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
    return ("customer %s: %s requests admitted in the window (limit %s),"
            + " %s tokens left at this instance, whose share is %s requests/s")
        .formatted(
            last.field("customer"),
            last.field("admitted-in-window"),
            last.field("limit-per-window"),
            last.field("tokens"),
            last.field("share-per-second"));
  }
}

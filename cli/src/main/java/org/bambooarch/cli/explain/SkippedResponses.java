package org.bambooarch.cli.explain;

import java.util.List;

/** The lines about responses that instances passed on to no request. */
final class SkippedResponses {

  private static final String EVENT = "response-skipped";

  private SkippedResponses() {}

  /** Returns whether a line is about a skipped response. */
  static boolean isSkipped(LogLine line) {
    return line.event().equals(EVENT);
  }

  /** Returns whether a line is about a skipped response that names a request. */
  static boolean names(LogLine line, String requestId) {
    return isSkipped(line) && line.field("received").equals(requestId);
  }

  /** Describes for operators the skipped responses among the lines about a request. */
  static String describe(List<LogLine> lines) {
    StringBuilder description = new StringBuilder();
    lines.stream()
        .filter(SkippedResponses::isSkipped)
        .forEach(line -> description.append("; ").append(describe(line)));
    return description.toString();
  }

  private static String describe(LogLine line) {
    String response =
        "server %s sent a response (%s) to request %s on connection %s"
            .formatted(
                line.field("server"),
                line.field("status"),
                line.field("received"),
                line.field("connection"));
    return switch (line.field("reason")) {
      case "other-request" ->
          response + " while it had request " + line.field("request") + ", which was skipped";
      case "joined-head" ->
          response + " whose head broke off, and another one behind it; both were dropped";
      case "bytes-behind-response" ->
          "server %s sent more bytes behind its response to request %s on connection %s"
              .formatted(line.field("server"), line.field("request"), line.field("connection"));
      case "second-response" -> response + " a second time, which was skipped";
      default -> response + " when it had no request, which was skipped";
    };
  }
}

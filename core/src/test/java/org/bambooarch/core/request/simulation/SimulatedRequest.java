package org.bambooarch.core.request.simulation;

/** What a caller wants, however often it is sent. */
record SimulatedRequest(String name, boolean isNonIdempotent, boolean crashesTarget) {

  String expectedBody() {
    return "whole answer to " + name;
  }
}

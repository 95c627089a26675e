package org.bambooarch.core.request.simulation;

/** A request of a caller, which may send it several times. */
record SimulatedRequest(String name, boolean isNonIdempotent, boolean crashesTarget) {

  String expectedBody() {
    return "complete response to " + name;
  }
}

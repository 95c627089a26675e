package org.bambooarch.bench.budget;

/** Thrown when a simulation violates an invariant of the budgets. */
final class InvariantViolationException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  InvariantViolationException(String message) {
    super(message);
  }
}

package org.bambooarch.bench.budget;

/** A rule that must always hold was broken in a trial. */
final class InvariantViolationException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  InvariantViolationException(String message) {
    super(message);
  }
}

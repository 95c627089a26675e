package org.bambooarch.bench.budget;

/** A rule that must always hold was broken in a trial. */
final class InvariantException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  InvariantException(String message) {
    super(message);
  }
}

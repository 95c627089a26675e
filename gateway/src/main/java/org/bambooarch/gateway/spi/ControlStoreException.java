package org.bambooarch.gateway.spi;

/** A call to the platform's store that brought no result. */
public final class ControlStoreException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean historyLost;

  private ControlStoreException(String message, boolean historyLost) {
    super(message);
    this.historyLost = historyLost;
  }

  /** Returns an exception for an answer that is not a success. */
  public static ControlStoreException unexpectedStatus(String call, int status) {
    return new ControlStoreException(
        "expected a success but the store answered %d to %s".formatted(status, call), false);
  }

  /** Returns an exception for changes that the store has forgotten. */
  public static ControlStoreException historyLost(String call) {
    return new ControlStoreException("the store has forgotten the history for " + call, true);
  }

  /** Returns an exception for an answer that cannot be read. */
  public static ControlStoreException unreadableResponse(String call, String reason) {
    return new ControlStoreException(
        "expected rows but the store's answer to %s is unreadable: %s".formatted(call, reason),
        false);
  }

  /** Returns whether the whole list must be read again. */
  public boolean isHistoryLost() {
    return historyLost;
  }
}

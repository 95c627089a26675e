package org.bambooarch.gateway.spi;

/** The platform's store responded to a call, but with an error or an unreadable body. */
public final class ControlStoreException extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean historyLost;

  private ControlStoreException(String message, boolean historyLost) {
    super(message);
    this.historyLost = historyLost;
  }

  /** Returns an exception for a response whose HTTP status is not a success. */
  public static ControlStoreException unexpectedStatus(String call, int status) {
    return new ControlStoreException(
        "expected a success but the store returned status %d for %s".formatted(status, call),
        false);
  }

  /** Returns an exception for a call that asks for changes which the store no longer keeps. */
  public static ControlStoreException historyLost(String call) {
    return new ControlStoreException(
        "the store no longer keeps the changes, so the full list must be read: " + call, true);
  }

  /** Returns an exception for a successful response whose body cannot be parsed. */
  public static ControlStoreException unreadableResponse(String call, String reason) {
    return new ControlStoreException(
        "expected rows but the store's response to %s is unreadable: %s".formatted(call, reason),
        false);
  }

  /** Returns an exception for a list whose pages do not end. */
  public static ControlStoreException endlessList(String call, int pages, int changes) {
    return new ControlStoreException(
        "expected the end of the list but the store has more after %d pages with %d changes: %s"
            .formatted(pages, changes, call),
        false);
  }

  /** Returns whether the full list must be read again, since its recent changes are unknown. */
  public boolean isHistoryLost() {
    return historyLost;
  }
}

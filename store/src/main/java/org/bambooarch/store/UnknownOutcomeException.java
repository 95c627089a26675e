package org.bambooarch.store;

/** A failed call that may have taken effect; read its target back before deciding what to do. */
public final class UnknownOutcomeException extends PlatformException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what failed, with the method and path of the call or the change concerned
   * @param cause the failure below, or null if there is none
   */
  public UnknownOutcomeException(String message, Throwable cause) {
    super(message, cause);
  }
}

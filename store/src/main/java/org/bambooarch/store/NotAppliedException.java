package org.bambooarch.store;

/** A failed call that certainly had no effect, so that it may be repeated. */
public final class NotAppliedException extends PlatformException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what failed, with the method and path of the call or the change concerned
   * @param cause the failure below, or null if there is none
   */
  public NotAppliedException(String message, Throwable cause) {
    super(message, cause);
  }
}

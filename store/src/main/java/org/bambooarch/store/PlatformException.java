package org.bambooarch.store;

/** A call to the platform's services that failed or gave no usable response. */
public abstract sealed class PlatformException extends Exception
    permits NotAppliedException, UnknownOutcomeException {

  private static final long serialVersionUID = 1L;

  PlatformException(String message, Throwable cause) {
    super(message, cause);
  }
}

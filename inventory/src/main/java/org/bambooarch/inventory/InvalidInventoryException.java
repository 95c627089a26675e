package org.bambooarch.inventory;

/** An inventory that cannot be read. */
public final class InvalidInventoryException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with the place of the fault in its message. */
  public InvalidInventoryException(String message, Throwable cause) {
    super(message, cause);
  }
}

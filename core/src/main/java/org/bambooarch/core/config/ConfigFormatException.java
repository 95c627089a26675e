package org.bambooarch.core.config;

/** Thrown when this version of the software cannot read a stored change or snapshot. */
public final class ConfigFormatException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the exception; the message says where in the text the problem is. */
  public ConfigFormatException(String message, Throwable cause) {
    super(message, cause);
  }
}

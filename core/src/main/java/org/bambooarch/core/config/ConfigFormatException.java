package org.bambooarch.core.config;

/** A stored change or snapshot that this version cannot read. */
public final class ConfigFormatException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Creates the exception; the message names the place in the text. */
  public ConfigFormatException(String message, Throwable cause) {
    super(message, cause);
  }
}

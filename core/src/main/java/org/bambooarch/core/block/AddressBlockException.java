package org.bambooarch.core.block;

/** A text that is no block of addresses. */
public final class AddressBlockException extends Exception {

  private static final long serialVersionUID = 1L;

  private AddressBlockException(String message) {
    super(message);
  }

  static AddressBlockException malformed(String text) {
    return new AddressBlockException(
        "expected an address block such as 10.1.0.0/16 or 2001:db8::/32, got \"" + text + "\"");
  }

  static AddressBlockException invalidLength(String text, int maxLength) {
    return new AddressBlockException(
        "expected a prefix length in [0, " + maxLength + "], got \"" + text + "\"");
  }

  static AddressBlockException nonZeroHostBits(String text) {
    return new AddressBlockException(
        "expected zeros after the prefix length, got \"" + text + "\"");
  }
}

package org.bambooarch.inventory.internal.check;

import java.net.InetAddress;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parses IP numbers without asking a name service. */
final class IpNumbers {

  private static final Pattern FOUR_PARTS =
      Pattern.compile("(0|[1-9]\\d{0,2})(\\.(0|[1-9]\\d{0,2})){3}");

  private IpNumbers() {}

  /** Returns the bytes of an IPv4 or IPv6 number, or nothing if the text is neither. */
  static Optional<byte[]> parse(String text) {
    boolean fourParts = FOUR_PARTS.matcher(text).matches();
    boolean colons = text.contains(":") && !text.contains("%");
    if (!fourParts && !colons) {
      return Optional.empty();
    }
    try {
      return Optional.of(InetAddress.ofLiteral(text).getAddress());
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}

package org.bambooarch.inventory.internal.check;

import java.net.InetAddress;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parses IP address literals without a DNS lookup. */
final class IpAddresses {

  private static final Pattern DOTTED_QUAD =
      Pattern.compile("(0|[1-9]\\d{0,2})(\\.(0|[1-9]\\d{0,2})){3}");

  private IpAddresses() {}

  /**
   * Returns the bytes of an IPv4 or IPv6 address in network order, or an empty optional if the text
   * is neither. IPv4 needs four decimal parts without leading zeros; IPv6 must not have a zone.
   */
  static Optional<byte[]> parse(String text) {
    boolean dottedQuad = DOTTED_QUAD.matcher(text).matches();
    boolean hasColonsAndNoZone = text.contains(":") && !text.contains("%");
    if (!dottedQuad && !hasColonsAndNoZone) {
      return Optional.empty();
    }
    try {
      return Optional.of(InetAddress.ofLiteral(text).getAddress());
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}

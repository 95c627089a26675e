package org.bambooarch.inventory.internal.check;

import java.util.Arrays;
import java.util.Optional;

/**
 * An IPv4 or IPv6 address block in CIDR notation.
 *
 * <p>Equality and order are by content, because a record would compare the arrays by identity.
 *
 * @param address address before the slash, 4 or 16 bytes; the first address of the block if {@link
 *     #hasNoHostBits()}
 * @param prefixLength number of leading bits that all addresses of the block share
 */
record Cidr(byte[] address, int prefixLength) implements Comparable<Cidr> {

  /**
   * Parses a block such as {@code 10.1.0.0/16}; returns an empty optional if the text is malformed
   * or the prefix is longer than the address.
   */
  static Optional<Cidr> parse(String text) {
    int slash = text.indexOf('/');
    if (slash < 0 || !text.substring(slash + 1).matches("0|[1-9]\\d{0,2}")) {
      return Optional.empty();
    }
    int prefixLength = Integer.parseInt(text.substring(slash + 1));
    return IpAddresses.parse(text.substring(0, slash))
        .filter(address -> prefixLength <= address.length * Byte.SIZE)
        .map(address -> new Cidr(address, prefixLength));
  }

  /** Returns whether all address bits after the prefix are zero. */
  boolean hasNoHostBits() {
    for (int bit = prefixLength; bit < address.length * Byte.SIZE; bit++) {
      if (isBitSet(bit)) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether all addresses of the other block, which may be equal, are in this block. */
  boolean contains(Cidr other) {
    if (address.length != other.address.length || prefixLength > other.prefixLength) {
      return false;
    }
    for (int bit = 0; bit < prefixLength; bit++) {
      if (isBitSet(bit) != other.isBitSet(bit)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Orders IPv4 before IPv6, then by address, then by prefix length. A block without host bits
   * comes before the blocks inside it.
   */
  @Override
  public int compareTo(Cidr other) {
    if (address.length != other.address.length) {
      return Integer.compare(address.length, other.address.length);
    }
    int byAddress = Arrays.compareUnsigned(address, other.address);
    return byAddress != 0 ? byAddress : Integer.compare(prefixLength, other.prefixLength);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Cidr cidr && compareTo(cidr) == 0;
  }

  @Override
  public int hashCode() {
    return 31 * Arrays.hashCode(address) + prefixLength;
  }

  private boolean isBitSet(int index) {
    return (address[index / Byte.SIZE] >> (Byte.SIZE - 1 - index % Byte.SIZE) & 1) == 1;
  }
}

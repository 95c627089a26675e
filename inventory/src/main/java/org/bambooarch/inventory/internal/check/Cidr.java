package org.bambooarch.inventory.internal.check;

import java.util.Arrays;
import java.util.Optional;

/**
 * An address block.
 *
 * @param address the first address, 4 or 16 bytes
 * @param prefixLength number of leading bits that all addresses of the block share
 */
record Cidr(byte[] address, int prefixLength) implements Comparable<Cidr> {

  /** Parses a block such as {@code 10.1.0.0/16}; nothing if the text is malformed. */
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

  /** Returns whether no bit is set behind the prefix. */
  boolean hasNoHostBits() {
    for (int bit = prefixLength; bit < address.length * Byte.SIZE; bit++) {
      if (isBitSet(bit)) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether all addresses of the other block belong to this one. */
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

  /** Orders a block before the blocks inside it. */
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

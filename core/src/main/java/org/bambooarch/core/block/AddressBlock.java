package org.bambooarch.core.block;

import java.net.Inet4Address;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.util.regex.Pattern;

/**
 * A block of IPv4 or IPv6 addresses.
 *
 * <p>Only the first 64 bits of an IPv6 address are used: the rest names a device inside one subnet.
 *
 * @param family kind of the addresses
 * @param key first address as an ordered number, see {@link Family#key}
 * @param length prefix length in bits
 */
public record AddressBlock(Family family, long key, int length) {

  private static final Pattern NUMERIC_ADDRESS =
      Pattern.compile("[0-9]+(\\.[0-9]+){3}|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");

  /** The two kinds of addresses. */
  public enum Family {
    /** IPv4, 32 bits. */
    IPV4(32),
    /** IPv6, the first 64 bits. */
    IPV6(64);

    private final int bits;

    Family(int bits) {
      this.bits = bits;
    }

    /** Returns the number of bits that prefixes are made of. */
    public int bits() {
      return bits;
    }

    /** Returns the kind of an address. */
    public static Family of(InetAddress address) {
      return address instanceof Inet4Address ? IPV4 : IPV6;
    }

    /** Returns a number for an address whose signed order is the order of addresses. */
    public static long key(InetAddress address) {
      byte[] bytes = address.getAddress();
      if (bytes.length == Integer.BYTES) {
        return Integer.toUnsignedLong(ByteBuffer.wrap(bytes).getInt());
      }
      return ByteBuffer.wrap(bytes).getLong() ^ Long.MIN_VALUE;
    }
  }

  /** Reads a block in the usual notation; the address must be a number and never a name. */
  public static AddressBlock parse(String text) throws AddressBlockException {
    int slash = text.indexOf('/');
    if (slash < 0 || !NUMERIC_ADDRESS.matcher(text.substring(0, slash)).matches()) {
      throw AddressBlockException.malformed(text);
    }
    InetAddress address = parseAddress(text, text.substring(0, slash));
    Family family = Family.of(address);
    int length = parseLength(text, text.substring(slash + 1), family.bits());
    AddressBlock block = new AddressBlock(family, Family.key(address), length);
    boolean lowerBitsSet =
        family == Family.IPV6 && ByteBuffer.wrap(address.getAddress()).getLong(Long.BYTES) != 0;
    if (lowerBitsSet || block.key() != block.firstKey()) {
      throw AddressBlockException.nonZeroHostBits(text);
    }
    return block;
  }

  private static InetAddress parseAddress(String text, String address)
      throws AddressBlockException {
    try {
      return InetAddress.ofLiteral(address);
    } catch (IllegalArgumentException e) {
      throw AddressBlockException.malformed(text);
    }
  }

  private static int parseLength(String text, String digits, int maxLength)
      throws AddressBlockException {
    try {
      int length = Integer.parseInt(digits);
      if (length >= 0 && length <= maxLength) {
        return length;
      }
    } catch (NumberFormatException e) {
      // Reported below with the same message.
    }
    throw AddressBlockException.invalidLength(text, maxLength);
  }

  private long firstKey() {
    int hostBits = family.bits() - length;
    long hostMask = hostBits == Long.SIZE ? -1L : (1L << hostBits) - 1;
    long zeroKey = family == Family.IPV6 ? Long.MIN_VALUE : 0;
    return ((key ^ zeroKey) & ~hostMask) ^ zeroKey;
  }
}

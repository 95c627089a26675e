package org.bambooarch.core.steering.hash;

/** Hash functions that give the same results on all instances. */
public final class Hashes {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final double UNIT_SCALE = 0x1.0p-53;

  private Hashes() {}

  /** Returns a 64-bit hash of a text: FNV-1a over its chars, finalized as in SplitMix64. */
  public static long of(CharSequence text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Returns the upper 32 bits of the 64-bit hash of a text. */
  public static int intOf(CharSequence text) {
    return (int) (of(text) >>> 32);
  }

  /** Returns the hash of two hashes; it depends on their order. */
  public static long combine(long first, long second) {
    return mix(first * 31 + second);
  }

  /** Maps the upper 53 bits of a hash to a number in [0, 1). */
  public static double toUnitInterval(long hash) {
    return (hash >>> 11) * UNIT_SCALE;
  }

  /** Applies the finalizer of SplitMix64. */
  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}

package org.bambooarch.core.block.internal;

/** The first addresses of the blocks in one chunk, one block in each row, in ascending order. */
sealed interface StartAddresses {

  /** Returns the first address of a row. */
  long get(int row);

  /** Returns the number of rows. */
  int size();

  /** Returns the size of one address in bytes. */
  int bytesPerAddress();

  /** Addresses of 32 bits. */
  record IntStarts(int[] values) implements StartAddresses {
    @Override
    public long get(int row) {
      return Integer.toUnsignedLong(values[row]);
    }

    @Override
    public int size() {
      return values.length;
    }

    @Override
    public int bytesPerAddress() {
      return Integer.BYTES;
    }
  }

  /** Addresses of 64 bits. */
  record LongStarts(long[] values) implements StartAddresses {
    @Override
    public long get(int row) {
      return values[row];
    }

    @Override
    public int size() {
      return values.length;
    }

    @Override
    public int bytesPerAddress() {
      return Long.BYTES;
    }
  }

  /** Returns the rows in [from, to), in the narrowest form that fits the given address bits. */
  static StartAddresses of(BlockColumns columns, int from, int to, int addressBits) {
    if (addressBits == Integer.SIZE) {
      int[] values = new int[to - from];
      for (int row = from; row < to; row++) {
        values[row - from] = (int) columns.start(row);
      }
      return new IntStarts(values);
    }
    long[] values = new long[to - from];
    for (int row = from; row < to; row++) {
      values[row - from] = columns.start(row);
    }
    return new LongStarts(values);
  }
}

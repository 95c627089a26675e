package org.bambooarch.core.block.internal;

import it.unimi.dsi.fastutil.Arrays;

/** A growing table of blocks, one array for each column. */
public final class BlockColumns {

  private static final int INITIAL_CAPACITY = 16;

  private long[] starts = new long[INITIAL_CAPACITY];
  private byte[] lengths = new byte[INITIAL_CAPACITY];
  private short[] places = new short[INITIAL_CAPACITY];
  private int size;

  /** Adds a block. */
  public void add(long start, int length, int place) {
    if (size == starts.length) {
      int capacity = size + (size >> 1);
      starts = java.util.Arrays.copyOf(starts, capacity);
      lengths = java.util.Arrays.copyOf(lengths, capacity);
      places = java.util.Arrays.copyOf(places, capacity);
    }
    starts[size] = start;
    lengths[size] = (byte) length;
    places[size] = (short) place;
    size++;
  }

  /** Sorts by first address, and blocks of one first address from the widest to the longest. */
  void sort() {
    if (!isSorted()) {
      Arrays.quickSort(0, size, this::compareRows, this::swap);
    }
  }

  private boolean isSorted() {
    for (int row = 1; row < size; row++) {
      if (compareRows(row - 1, row) > 0) {
        return false;
      }
    }
    return true;
  }

  private int compareRows(int first, int second) {
    return compare(starts[first], lengths[first], starts[second], lengths[second]);
  }

  static int compare(long firstStart, int firstLength, long secondStart, int secondLength) {
    int byStart = Long.compare(firstStart, secondStart);
    return byStart != 0 ? byStart : Integer.compare(firstLength, secondLength);
  }

  private void swap(int first, int second) {
    final long start = starts[first];
    final byte length = lengths[first];
    final short place = places[first];
    starts[first] = starts[second];
    lengths[first] = lengths[second];
    places[first] = places[second];
    starts[second] = start;
    lengths[second] = length;
    places[second] = place;
  }

  int size() {
    return size;
  }

  long start(int row) {
    return starts[row];
  }

  int length(int row) {
    return lengths[row];
  }

  int place(int row) {
    return places[row];
  }
}

package org.bambooarch.core.block.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Up to {@value #MAX_ROWS} blocks in ascending order, one in each row, and for each the row of the
 * smallest other block that contains it (its parent).
 *
 * <p>Blocks of earlier chunks that contain the start of this one are copied into it as covering
 * blocks, widest first, so that a look-up needs one chunk only. Immutable.
 */
final class BlockChunk {

  /** Maximum number of rows in a chunk; row numbers must fit into a short. */
  static final int MAX_ROWS = 1024;

  private static final short NO_ROW = -1;
  private static final int CHUNK_OVERHEAD_BYTES = 120;

  private final int addressBits;
  private final StartAddresses starts;
  private final byte[] lengths;
  private final short[] places;
  private final short[] parents;
  private final CoveringBlock[] coveringBlocks;

  /**
   * A block of an earlier chunk that contains the first address of this chunk.
   *
   * @param start first address of the block
   * @param length prefix length in bits
   * @param place id of the place
   */
  record CoveringBlock(long start, int length, int place) {}

  private BlockChunk(
      int addressBits,
      StartAddresses starts,
      byte[] lengths,
      short[] places,
      short[] parents,
      CoveringBlock[] coveringBlocks) {
    this.addressBits = addressBits;
    this.starts = starts;
    this.lengths = lengths;
    this.places = places;
    this.parents = parents;
    this.coveringBlocks = coveringBlocks;
  }

  /** Returns a chunk of the sorted rows in [from, to), without covering blocks. */
  static BlockChunk of(BlockColumns columns, int from, int to, int addressBits) {
    int size = to - from;
    byte[] lengths = new byte[size];
    short[] places = new short[size];
    for (int row = 0; row < size; row++) {
      lengths[row] = (byte) columns.length(from + row);
      places[row] = (short) columns.place(from + row);
    }
    StartAddresses starts = StartAddresses.of(columns, from, to, addressBits);
    short[] parents = findParents(starts, lengths, addressBits);
    return new BlockChunk(addressBits, starts, lengths, places, parents, new CoveringBlock[0]);
  }

  private static short[] findParents(StartAddresses starts, byte[] lengths, int addressBits) {
    short[] parents = new short[lengths.length];
    for (int row = 0; row < lengths.length; row++) {
      int candidate = row - 1;
      while (candidate >= 0
          && !contains(starts.get(candidate), lengths[candidate], starts.get(row), addressBits)) {
        candidate = parents[candidate];
      }
      parents[row] = (short) candidate;
    }
    return parents;
  }

  /** Returns whether a block contains an address. */
  static boolean contains(long start, int length, long address, int addressBits) {
    return length == 0 || (start ^ address) >>> (addressBits - length) == 0;
  }

  /** Returns the place id of the longest block containing the address, or NO_PLACE. */
  int find(long address) {
    int row = lastRowNotAfter(address);
    while (row != NO_ROW) {
      if (contains(starts.get(row), lengths[row], address, addressBits)) {
        return places[row];
      }
      row = parents[row];
    }
    for (int covering = coveringBlocks.length - 1; covering >= 0; covering--) {
      if (contains(
          coveringBlocks[covering].start(),
          coveringBlocks[covering].length(),
          address,
          addressBits)) {
        return coveringBlocks[covering].place();
      }
    }
    return BlockTable.NO_PLACE;
  }

  /** Returns the last row whose first address is at most the given one, or -1. */
  private int lastRowNotAfter(long address) {
    int low = 0;
    int high = starts.size();
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (starts.get(middle) <= address) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low - 1;
  }

  /** Returns a chunk with the given covering blocks; this chunk if it has them already. */
  BlockChunk withCoveringBlocks(CoveringBlock[] newCoveringBlocks) {
    if (Arrays.equals(coveringBlocks, newCoveringBlocks)) {
      return this;
    }
    return new BlockChunk(addressBits, starts, lengths, places, parents, newCoveringBlocks);
  }

  /** Returns the covering blocks for the next chunk, which begins at the given address. */
  CoveringBlock[] coveringBlocksAt(long nextStart) {
    ArrayList<CoveringBlock> longestFirst = new ArrayList<>();
    for (int row = size() - 1; row != NO_ROW; row = parents[row]) {
      addIfContaining(
          longestFirst, new CoveringBlock(start(row), lengths[row], places[row]), nextStart);
    }
    for (int covering = coveringBlocks.length - 1; covering >= 0; covering--) {
      addIfContaining(longestFirst, coveringBlocks[covering], nextStart);
    }
    return longestFirst.reversed().toArray(CoveringBlock[]::new);
  }

  private void addIfContaining(List<CoveringBlock> found, CoveringBlock covering, long address) {
    if (contains(covering.start(), covering.length(), address, addressBits)) {
      found.add(covering);
    }
  }

  int size() {
    return lengths.length;
  }

  long start(int row) {
    return starts.get(row);
  }

  int length(int row) {
    return lengths[row];
  }

  int place(int row) {
    return places[row];
  }

  long estimatedBytes() {
    long rowBytes = starts.bytesPerAddress() + Byte.BYTES + Short.BYTES + Short.BYTES;
    return CHUNK_OVERHEAD_BYTES + size() * rowBytes + coveringBlocks.length * 32L;
  }
}

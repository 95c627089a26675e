package org.bambooarch.core.block.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Some hundreds of blocks in order, each with the row of the nearest block around it.
 *
 * <p>Blocks of earlier chunks that reach into this one are repeated as covers, widest first.
 */
final class BlockChunk {

  /** Most rows of a chunk. */
  static final int MAX_ROWS = 1024;

  private static final short NO_ROW = -1;
  private static final int OBJECT_BYTES = 120;

  private final int addressBits;
  private final Starts starts;
  private final byte[] lengths;
  private final short[] places;
  private final short[] parents;
  private final Cover[] covers;

  /** A block of an earlier chunk. */
  record Cover(long start, int length, int place) {}

  private BlockChunk(
      int addressBits,
      Starts starts,
      byte[] lengths,
      short[] places,
      short[] parents,
      Cover[] covers) {
    this.addressBits = addressBits;
    this.starts = starts;
    this.lengths = lengths;
    this.places = places;
    this.parents = parents;
    this.covers = covers;
  }

  /** Returns a chunk of sorted rows, without covers. */
  static BlockChunk of(BlockColumns columns, int from, int to, int addressBits) {
    int size = to - from;
    byte[] lengths = new byte[size];
    short[] places = new short[size];
    for (int row = 0; row < size; row++) {
      lengths[row] = (byte) columns.length(from + row);
      places[row] = (short) columns.place(from + row);
    }
    Starts starts = Starts.of(columns, from, to, addressBits);
    short[] parents = findParents(starts, lengths, addressBits);
    return new BlockChunk(addressBits, starts, lengths, places, parents, new Cover[0]);
  }

  private static short[] findParents(Starts starts, byte[] lengths, int addressBits) {
    short[] parents = new short[lengths.length];
    for (int row = 0; row < lengths.length; row++) {
      int candidate = row - 1;
      while (candidate >= 0
          && !holds(starts.get(candidate), lengths[candidate], starts.get(row), addressBits)) {
        candidate = parents[candidate];
      }
      parents[row] = (short) candidate;
    }
    return parents;
  }

  /** Returns whether a block holds an address. */
  static boolean holds(long start, int length, long address, int addressBits) {
    return length == 0 || (start ^ address) >>> (addressBits - length) == 0;
  }

  /** Returns the place of the longest block that holds the address, or the absent place. */
  int find(long address) {
    int row = lastRowNotAfter(address);
    while (row != NO_ROW) {
      if (holds(starts.get(row), lengths[row], address, addressBits)) {
        return places[row];
      }
      row = parents[row];
    }
    for (int cover = covers.length - 1; cover >= 0; cover--) {
      if (holds(covers[cover].start(), covers[cover].length(), address, addressBits)) {
        return covers[cover].place();
      }
    }
    return BlockTable.NO_PLACE;
  }

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

  /** Returns the same rows with other covers, or this chunk if they are the same. */
  BlockChunk withCovers(Cover[] newCovers) {
    if (Arrays.equals(covers, newCovers)) {
      return this;
    }
    return new BlockChunk(addressBits, starts, lengths, places, parents, newCovers);
  }

  /** Returns the covers of a chunk that begins at the given address behind this one. */
  Cover[] coversOf(long nextStart) {
    ArrayList<Cover> longestFirst = new ArrayList<>();
    for (int row = size() - 1; row != NO_ROW; row = parents[row]) {
      addIfHolding(longestFirst, new Cover(start(row), lengths[row], places[row]), nextStart);
    }
    for (int cover = covers.length - 1; cover >= 0; cover--) {
      addIfHolding(longestFirst, covers[cover], nextStart);
    }
    return longestFirst.reversed().toArray(Cover[]::new);
  }

  private void addIfHolding(List<Cover> found, Cover cover, long address) {
    if (holds(cover.start(), cover.length(), address, addressBits)) {
      found.add(cover);
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

  long heldBytes() {
    long rowBytes = starts.rowBytes() + Byte.BYTES + Short.BYTES + Short.BYTES;
    return OBJECT_BYTES + size() * rowBytes + covers.length * 32L;
  }
}

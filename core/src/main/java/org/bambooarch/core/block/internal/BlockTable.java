package org.bambooarch.core.block.internal;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.block.internal.BlockChunk.Cover;

/** The blocks of one address family: chunks in order and an index of their first addresses. */
public final class BlockTable {

  /** Absence of a place. */
  public static final int NO_PLACE = -1;

  // Rebuilt chunks leave room, so that a few additions do not split them again.
  private static final int FILL_ROWS = BlockChunk.MAX_ROWS * 3 / 4;

  private final int addressBits;
  private final long[] firstStarts;
  private final BlockChunk[] chunks;

  private BlockTable(int addressBits, List<BlockChunk> chunks) {
    this.addressBits = addressBits;
    this.chunks = chunks.toArray(BlockChunk[]::new);
    this.firstStarts = new long[chunks.size()];
    for (int index = 0; index < firstStarts.length; index++) {
      firstStarts[index] = this.chunks[index].start(0);
    }
  }

  /** Returns a table without any block. */
  public static BlockTable empty(int addressBits) {
    return new BlockTable(addressBits, List.of());
  }

  /** Returns the place of the longest block that holds the address, or {@link #NO_PLACE}. */
  public int find(long address) {
    int low = 0;
    int high = firstStarts.length;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (firstStarts[middle] <= address) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low == 0 ? NO_PLACE : chunks[low - 1].find(address);
  }

  /** Returns the table after removals and additions. */
  public BlockTable apply(BlockColumns set, BlockColumns removed) {
    if (set.size() == 0 && removed.size() == 0) {
      return this;
    }
    set.sort();
    removed.sort();
    ChunkMerge merge = new ChunkMerge(set, removed);
    List<BlockChunk> merged = new ArrayList<>();
    if (chunks.length == 0) {
      split(merge.mergeLast(null), merged);
    }
    for (int index = 0; index < chunks.length; index++) {
      BlockChunk chunk = chunks[index];
      BlockChunk next = index + 1 < chunks.length ? chunks[index + 1] : null;
      if (next != null && !merge.touchesBefore(next)) {
        merged.add(chunk);
        continue;
      }
      split(next == null ? merge.mergeLast(chunk) : merge.mergeBefore(chunk, next), merged);
    }
    return new BlockTable(addressBits, withCovers(merged));
  }

  private void split(BlockColumns rows, List<BlockChunk> target) {
    if (rows.size() <= BlockChunk.MAX_ROWS) {
      if (rows.size() > 0) {
        target.add(BlockChunk.of(rows, 0, rows.size(), addressBits));
      }
      return;
    }
    for (int from = 0; from < rows.size(); from += FILL_ROWS) {
      int to = Math.min(rows.size(), from + FILL_ROWS);
      target.add(BlockChunk.of(rows, from, to, addressBits));
    }
  }

  private static List<BlockChunk> withCovers(List<BlockChunk> merged) {
    List<BlockChunk> covered = new ArrayList<>(merged.size());
    for (BlockChunk chunk : merged) {
      Cover[] covers =
          covered.isEmpty() ? new Cover[0] : covered.getLast().coversOf(chunk.start(0));
      covered.add(chunk.withCovers(covers));
    }
    return covered;
  }

  /** Returns the number of blocks. */
  public long size() {
    long size = 0;
    for (BlockChunk chunk : chunks) {
      size += chunk.size();
    }
    return size;
  }

  /** Returns the bytes of the arrays. */
  public long heldBytes() {
    long bytes = firstStarts.length * 12L;
    for (BlockChunk chunk : chunks) {
      bytes += chunk.heldBytes();
    }
    return bytes;
  }
}

package org.bambooarch.core.block.internal;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.block.internal.BlockChunk.CoveringBlock;

/**
 * The blocks of one address family: chunks in ascending order of address, and an array of the first
 * address of each chunk for binary search. Immutable.
 */
public final class BlockTable {

  /** Result of a look-up that finds no block. */
  public static final int NO_PLACE = -1;

  // A split fills the new chunks to three quarters, so that a few additions do not split them
  // again.
  private static final int SPLIT_CHUNK_ROWS = BlockChunk.MAX_ROWS * 3 / 4;

  private final int addressBits;
  private final long[] chunkStarts;
  private final BlockChunk[] chunks;

  private BlockTable(int addressBits, List<BlockChunk> chunks) {
    this.addressBits = addressBits;
    this.chunks = chunks.toArray(BlockChunk[]::new);
    this.chunkStarts = new long[chunks.size()];
    for (int index = 0; index < chunkStarts.length; index++) {
      chunkStarts[index] = this.chunks[index].start(0);
    }
  }

  /** Returns a table without blocks, for addresses of the given number of bits. */
  public static BlockTable empty(int addressBits) {
    return new BlockTable(addressBits, List.of());
  }

  /** Returns the place id of the longest block that contains the address, or {@link #NO_PLACE}. */
  public int find(long address) {
    int low = 0;
    int high = chunkStarts.length;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (chunkStarts[middle] <= address) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low == 0 ? NO_PLACE : chunks[low - 1].find(address);
  }

  /** Returns a table with the changes applied; sorts the given columns in place. */
  public BlockTable apply(BlockColumns upserts, BlockColumns removals) {
    if (upserts.size() == 0 && removals.size() == 0) {
      return this;
    }
    upserts.sort();
    removals.sort();
    ChunkMerger merger = new ChunkMerger(upserts, removals);
    List<BlockChunk> mergedChunks = new ArrayList<>();
    if (chunks.length == 0) {
      split(merger.mergeLast(null), mergedChunks);
    }
    for (int index = 0; index < chunks.length; index++) {
      BlockChunk chunk = chunks[index];
      BlockChunk next = index + 1 < chunks.length ? chunks[index + 1] : null;
      if (next != null && !merger.hasChangesBefore(next)) {
        mergedChunks.add(chunk);
        continue;
      }
      split(next == null ? merger.mergeLast(chunk) : merger.mergeBefore(chunk, next), mergedChunks);
    }
    return new BlockTable(addressBits, withCoveringBlocks(mergedChunks));
  }

  /** Adds rows to a list of chunks, as several chunks if they exceed the size of one. */
  private void split(BlockColumns rows, List<BlockChunk> target) {
    if (rows.size() <= BlockChunk.MAX_ROWS) {
      if (rows.size() > 0) {
        target.add(BlockChunk.of(rows, 0, rows.size(), addressBits));
      }
      return;
    }
    for (int from = 0; from < rows.size(); from += SPLIT_CHUNK_ROWS) {
      int to = Math.min(rows.size(), from + SPLIT_CHUNK_ROWS);
      target.add(BlockChunk.of(rows, from, to, addressBits));
    }
  }

  /** Gives each chunk the covering blocks that result from the chunks before it. */
  private static List<BlockChunk> withCoveringBlocks(List<BlockChunk> mergedChunks) {
    List<BlockChunk> linked = new ArrayList<>(mergedChunks.size());
    for (BlockChunk chunk : mergedChunks) {
      CoveringBlock[] coveringBlocks =
          linked.isEmpty()
              ? new CoveringBlock[0]
              : linked.getLast().coveringBlocksAt(chunk.start(0));
      linked.add(chunk.withCoveringBlocks(coveringBlocks));
    }
    return linked;
  }

  /** Returns the number of blocks. */
  public long size() {
    long size = 0;
    for (BlockChunk chunk : chunks) {
      size += chunk.size();
    }
    return size;
  }

  /** Returns the estimated memory of the table in bytes. */
  public long estimatedBytes() {
    long bytes = chunkStarts.length * 12L;
    for (BlockChunk chunk : chunks) {
      bytes += chunk.estimatedBytes();
    }
    return bytes;
  }
}

package org.bambooarch.core.block.internal;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.block.internal.BlockChunk.CoveringBlock;

/** The blocks of one address family: chunks in order and an index of their first addresses. */
public final class BlockTable {

  /** Absence of a place. */
  public static final int NO_PLACE = -1;

  // Rebuilt chunks leave room, so that a few additions do not split them again.
  private static final int REBUILT_CHUNK_ROWS = BlockChunk.MAX_ROWS * 3 / 4;

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

  /** Returns a table without any block. */
  public static BlockTable empty(int addressBits) {
    return new BlockTable(addressBits, List.of());
  }

  /** Returns the place of the longest block that contains the address, or {@link #NO_PLACE}. */
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

  /** Returns the table after removals and additions. */
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

  private void split(BlockColumns rows, List<BlockChunk> target) {
    if (rows.size() <= BlockChunk.MAX_ROWS) {
      if (rows.size() > 0) {
        target.add(BlockChunk.of(rows, 0, rows.size(), addressBits));
      }
      return;
    }
    for (int from = 0; from < rows.size(); from += REBUILT_CHUNK_ROWS) {
      int to = Math.min(rows.size(), from + REBUILT_CHUNK_ROWS);
      target.add(BlockChunk.of(rows, from, to, addressBits));
    }
  }

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

  /** Returns the bytes of the arrays. */
  public long estimatedBytes() {
    long bytes = chunkStarts.length * 12L;
    for (BlockChunk chunk : chunks) {
      bytes += chunk.estimatedBytes();
    }
    return bytes;
  }
}

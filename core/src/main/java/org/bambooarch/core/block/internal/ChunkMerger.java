package org.bambooarch.core.block.internal;

/** Merges sorted additions and removals into chunks, from the first chunk to the last. */
final class ChunkMerger {

  private final BlockColumns upserts;
  private final BlockColumns removals;
  private int nextUpsert;
  private int nextRemoval;

  ChunkMerger(BlockColumns upserts, BlockColumns removals) {
    this.upserts = upserts;
    this.removals = removals;
  }

  /** Returns whether a change that is still to be merged lies before the given chunk. */
  boolean hasChangesBefore(BlockChunk next) {
    return isBefore(upserts, nextUpsert, next) || isBefore(removals, nextRemoval, next);
  }

  private static boolean isBefore(BlockColumns changes, int row, BlockChunk next) {
    return row < changes.size()
        && BlockColumns.compare(
                changes.start(row), changes.length(row), next.start(0), next.length(0))
            < 0;
  }

  /** Returns the rows of a chunk and of all changes before the next chunk. */
  BlockColumns mergeBefore(BlockChunk chunk, BlockChunk next) {
    BlockColumns result = new BlockColumns();
    for (int row = 0; row < chunk.size(); row++) {
      addUpsertsBefore(chunk, row, result);
      addUnlessChanged(chunk, row, result);
    }
    while (isBefore(upserts, nextUpsert, next)) {
      addNextUpsert(result);
    }
    while (isBefore(removals, nextRemoval, next)) {
      nextRemoval++;
    }
    return result;
  }

  /** Returns the rows of the last chunk, if there is any, and of all remaining changes. */
  BlockColumns mergeLast(BlockChunk chunk) {
    BlockColumns result = new BlockColumns();
    for (int row = 0; chunk != null && row < chunk.size(); row++) {
      addUpsertsBefore(chunk, row, result);
      addUnlessChanged(chunk, row, result);
    }
    while (nextUpsert < upserts.size()) {
      addNextUpsert(result);
    }
    return result;
  }

  private void addUpsertsBefore(BlockChunk chunk, int row, BlockColumns result) {
    while (nextUpsert < upserts.size() && compare(upserts, nextUpsert, chunk, row) < 0) {
      addNextUpsert(result);
    }
  }

  /** Adds the next addition; of several for one block only the last one of the sort counts. */
  private void addNextUpsert(BlockColumns result) {
    int row = nextUpsert++;
    boolean repeated =
        nextUpsert < upserts.size()
            && upserts.start(nextUpsert) == upserts.start(row)
            && upserts.length(nextUpsert) == upserts.length(row);
    if (!repeated) {
      result.add(upserts.start(row), upserts.length(row), upserts.place(row));
    }
  }

  private void addUnlessChanged(BlockChunk chunk, int row, BlockColumns result) {
    while (nextRemoval < removals.size() && compare(removals, nextRemoval, chunk, row) < 0) {
      nextRemoval++;
    }
    boolean replaced = nextUpsert < upserts.size() && compare(upserts, nextUpsert, chunk, row) == 0;
    boolean removed =
        nextRemoval < removals.size() && compare(removals, nextRemoval, chunk, row) == 0;
    if (!replaced && !removed) {
      result.add(chunk.start(row), chunk.length(row), chunk.place(row));
    }
  }

  private static int compare(BlockColumns changes, int change, BlockChunk chunk, int row) {
    return BlockColumns.compare(
        changes.start(change), changes.length(change), chunk.start(row), chunk.length(row));
  }
}

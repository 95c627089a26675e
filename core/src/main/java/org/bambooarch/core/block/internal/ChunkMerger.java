package org.bambooarch.core.block.internal;

/** Merges sorted additions and removals into chunks, from the first chunk to the last. */
final class ChunkMerge {

  private final BlockColumns set;
  private final BlockColumns removed;
  private int nextSet;
  private int nextRemoved;

  ChunkMerge(BlockColumns set, BlockColumns removed) {
    this.set = set;
    this.removed = removed;
  }

  /** Returns whether a change that is still to be merged lies before the given chunk. */
  boolean touchesBefore(BlockChunk next) {
    return isBefore(set, nextSet, next) || isBefore(removed, nextRemoved, next);
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
      addSetsBefore(chunk, row, result);
      addUnlessReplaced(chunk, row, result);
    }
    while (isBefore(set, nextSet, next)) {
      addNextSet(result);
    }
    while (isBefore(removed, nextRemoved, next)) {
      nextRemoved++;
    }
    return result;
  }

  /** Returns the rows of the last chunk, if there is any, and of all remaining changes. */
  BlockColumns mergeLast(BlockChunk chunk) {
    BlockColumns result = new BlockColumns();
    for (int row = 0; chunk != null && row < chunk.size(); row++) {
      addSetsBefore(chunk, row, result);
      addUnlessReplaced(chunk, row, result);
    }
    while (nextSet < set.size()) {
      addNextSet(result);
    }
    return result;
  }

  private void addSetsBefore(BlockChunk chunk, int row, BlockColumns result) {
    while (nextSet < set.size() && compare(set, nextSet, chunk, row) < 0) {
      addNextSet(result);
    }
  }

  /** Adds the next addition; of several for one block only the last one of the sort counts. */
  private void addNextSet(BlockColumns result) {
    int row = nextSet++;
    boolean repeated =
        nextSet < set.size()
            && set.start(nextSet) == set.start(row)
            && set.length(nextSet) == set.length(row);
    if (!repeated) {
      result.add(set.start(row), set.length(row), set.place(row));
    }
  }

  private void addUnlessReplaced(BlockChunk chunk, int row, BlockColumns result) {
    while (nextRemoved < removed.size() && compare(removed, nextRemoved, chunk, row) < 0) {
      nextRemoved++;
    }
    boolean isReplaced = nextSet < set.size() && compare(set, nextSet, chunk, row) == 0;
    boolean isRemoved =
        nextRemoved < removed.size() && compare(removed, nextRemoved, chunk, row) == 0;
    if (!isReplaced && !isRemoved) {
      result.add(chunk.start(row), chunk.length(row), chunk.place(row));
    }
  }

  private static int compare(BlockColumns changes, int change, BlockChunk chunk, int row) {
    return BlockColumns.compare(
        changes.start(change), changes.length(change), chunk.start(row), chunk.length(row));
  }
}

package org.bambooarch.bench.spread;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.bambooarch.core.block.AddressBlock;
import org.bambooarch.core.block.AddressBlock.Family;
import org.bambooarch.core.block.BlockDelta;
import org.bambooarch.core.block.ClientBlocks;
import org.bambooarch.core.block.PlacedBlock;

/**
 * Compares the memory and the look-up time of {@link ClientBlocks} with those of a {@link TreeMap}
 * of the same blocks in one run, and measures the time to apply changes.
 *
 * <p>Run it with {@code bin/bench client-blocks}. The blocks do not overlap, because the baseline
 * does no longest-prefix match.
 */
public final class ClientBlocksBenchmark {

  private static final int BLOCKS = 3_500_000;
  private static final int PLACES = 54;
  private static final int ADDRESSES = 1 << 16;
  private static final int ROUNDS = 7;
  private static final int LOOKUPS = 2_000_000;
  private static final int[] DELTA_SIZES = {1, 10, 100, 1_000};
  private static final long SEED = 1;
  private static final int BLOCK_LENGTH = 24;
  private static final long BLOCK_ADDRESSES = 1L << (Integer.SIZE - BLOCK_LENGTH);
  private static final double NANOS_PER_MILLI = 1e6;

  private final Random random = new Random(SEED);
  private int found;

  private ClientBlocksBenchmark() {}

  /**
   * Builds both maps, then prints their memory in bytes, their look-up times and, for each size of
   * a change, the mean and the best time to apply it.
   */
  public static void main(String[] args) throws UnknownHostException {
    new ClientBlocksBenchmark().run();
  }

  private void run() throws UnknownHostException {
    long before = usedBytes();
    ClientBlocks blocks = build();
    long blocksBytes = usedBytes() - before;
    System.out.printf(
        "blocks=%d arrayBytes=%d heapBytes=%d bytesPerBlock=%.1f%n",
        blocks.size(), blocks.estimatedBytes(), blocksBytes, blocksBytes / (double) BLOCKS);
    before = usedBytes();
    TreeMap<Long, String> tree = buildTree();
    long treeBytes = usedBytes() - before;
    System.out.printf(
        "baseline=TreeMap heapBytes=%d ratio=%.2f%n", treeBytes, treeBytes / (double) blocksBytes);
    InetAddress[] addresses = addresses();
    for (int round = 0; round < ROUNDS; round++) {
      double blocksNanos =
          nanosPerLookup(addresses, address -> blocks.placeOf(address).isPresent());
      double treeNanos =
          nanosPerLookup(addresses, address -> baselinePlaceOf(tree, address) != null);
      System.out.printf(
          "round=%d nanosPerLookup=%.0f lookupsPerSecondPerCore=%.0f"
              + " baselineNanos=%.0f ratio=%.2f%n",
          round, blocksNanos, 1e9 / blocksNanos, treeNanos, treeNanos / blocksNanos);
    }
    measureDeltas(blocks);
    System.out.println("found=" + found);
  }

  private ClientBlocks build() {
    ClientBlocks blocks = ClientBlocks.empty();
    int batchSize = BLOCKS / 10;
    for (int from = 0; from < BLOCKS; from += batchSize) {
      List<PlacedBlock> set = new ArrayList<>(batchSize);
      for (int index = from; index < from + batchSize; index++) {
        set.add(placed(index));
      }
      blocks = blocks.apply(new BlockDelta(set, List.of()));
    }
    return blocks;
  }

  private static PlacedBlock placed(int index) {
    long key = index * 4L * BLOCK_ADDRESSES;
    return new PlacedBlock(
        new AddressBlock(Family.IPV4, key, BLOCK_LENGTH), "place-" + index % PLACES);
  }

  private static TreeMap<Long, String> buildTree() {
    String[] places = new String[PLACES];
    for (int place = 0; place < PLACES; place++) {
      places[place] = "place-" + place;
    }
    TreeMap<Long, String> tree = new TreeMap<>();
    for (int index = 0; index < BLOCKS; index++) {
      tree.put(index * 4L * BLOCK_ADDRESSES, places[index % PLACES]);
    }
    return tree;
  }

  private static String baselinePlaceOf(TreeMap<Long, String> tree, InetAddress address) {
    long key = Family.key(address);
    Map.Entry<Long, String> entry = tree.floorEntry(key);
    return entry == null || key - entry.getKey() >= BLOCK_ADDRESSES ? null : entry.getValue();
  }

  private InetAddress[] addresses() throws UnknownHostException {
    InetAddress[] addresses = new InetAddress[ADDRESSES];
    for (int index = 0; index < ADDRESSES; index++) {
      long key = random.nextInt(BLOCKS) * 4L * BLOCK_ADDRESSES + random.nextInt(256);
      addresses[index] =
          InetAddress.getByAddress(
              new byte[] {
                (byte) (key >>> 24), (byte) (key >>> 16), (byte) (key >>> 8), (byte) key
              });
    }
    return addresses;
  }

  private double nanosPerLookup(InetAddress[] addresses, Predicate<InetAddress> lookup) {
    long startedNanos = System.nanoTime();
    for (int index = 0; index < LOOKUPS; index++) {
      if (lookup.test(addresses[index & (ADDRESSES - 1)])) {
        found++;
      }
    }
    return (System.nanoTime() - startedNanos) / (double) LOOKUPS;
  }

  private void measureDeltas(ClientBlocks blocks) {
    for (int size : DELTA_SIZES) {
      long bestNanos = Long.MAX_VALUE;
      long totalNanos = 0;
      for (int round = 0; round < ROUNDS; round++) {
        BlockDelta delta = delta(size);
        long startedNanos = System.nanoTime();
        Optional<ClientBlocks> changed = Optional.of(blocks.apply(delta));
        long elapsedNanos = System.nanoTime() - startedNanos;
        found += (int) changed.get().size();
        bestNanos = Math.min(bestNanos, elapsedNanos);
        totalNanos += elapsedNanos;
      }
      System.out.printf(
          "deltaBlocks=%d meanMillis=%.2f bestMillis=%.2f%n",
          size, totalNanos / NANOS_PER_MILLI / ROUNDS, bestNanos / NANOS_PER_MILLI);
    }
  }

  private BlockDelta delta(int size) {
    List<PlacedBlock> set = new ArrayList<>();
    for (int index = 0; index < size; index++) {
      AddressBlock block = placed(random.nextInt(BLOCKS)).block();
      set.add(new PlacedBlock(block, "place-" + random.nextInt(PLACES)));
    }
    return new BlockDelta(set, List.of());
  }

  private static long usedBytes() {
    for (int round = 0; round < 3; round++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}

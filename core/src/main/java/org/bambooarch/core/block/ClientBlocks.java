package org.bambooarch.core.block;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bambooarch.core.block.AddressBlock.Family;
import org.bambooarch.core.block.internal.BlockColumns;
import org.bambooarch.core.block.internal.BlockTable;

/**
 * An immutable map from client addresses to places by longest-prefix match.
 *
 * <p>Blocks lie in sorted chunks of primitive arrays. A change copies the chunks that it touches
 * and shares all others, so that look-ups go on against the old map meanwhile.
 *
 * <pre>{@code
 * ClientBlocks blocks = ClientBlocks.empty().apply(delta);
 * Optional<String> place = blocks.placeOf(InetAddress.ofLiteral("10.1.2.3"));
 * }</pre>
 */
public final class ClientBlocks {

  private static final int MAX_PLACES = 1 << 15;
  private static final ClientBlocks EMPTY =
      new ClientBlocks(
          List.of(), BlockTable.empty(Family.IPV4.bits()), BlockTable.empty(Family.IPV6.bits()));

  private final List<String> places;
  private final BlockTable ipv4;
  private final BlockTable ipv6;

  private ClientBlocks(List<String> places, BlockTable ipv4, BlockTable ipv6) {
    this.places = places;
    this.ipv4 = ipv4;
    this.ipv6 = ipv6;
  }

  /** Returns a map without any block. */
  public static ClientBlocks empty() {
    return EMPTY;
  }

  /** Returns the place of the longest block that holds an address. */
  public Optional<String> placeOf(InetAddress address) {
    int place = table(Family.of(address)).find(Family.key(address));
    return place == BlockTable.NO_PLACE ? Optional.empty() : Optional.of(places.get(place));
  }

  /** Returns the map after a change; this map stays as it is. */
  public ClientBlocks apply(BlockDelta delta) {
    List<String> names = new ArrayList<>(places);
    Map<String, Integer> placeIdsByName = new HashMap<>();
    for (int id = 0; id < names.size(); id++) {
      placeIdsByName.put(names.get(id), id);
    }
    BlockColumns ipv4Upserts = new BlockColumns();
    BlockColumns ipv6Upserts = new BlockColumns();
    for (PlacedBlock placed : delta.upserts()) {
      int id = placeIdsByName.computeIfAbsent(placed.place(), name -> addPlace(names, name));
      AddressBlock block = placed.block();
      (block.family() == Family.IPV4 ? ipv4Upserts : ipv6Upserts)
          .add(block.key(), block.length(), id);
    }
    BlockColumns ipv4Removals = new BlockColumns();
    BlockColumns ipv6Removals = new BlockColumns();
    for (AddressBlock block : delta.removals()) {
      (block.family() == Family.IPV4 ? ipv4Removals : ipv6Removals)
          .add(block.key(), block.length(), 0);
    }
    return new ClientBlocks(
        List.copyOf(names),
        ipv4.apply(ipv4Upserts, ipv4Removals),
        ipv6.apply(ipv6Upserts, ipv6Removals));
  }

  private static int addPlace(List<String> names, String name) {
    if (names.size() >= MAX_PLACES) {
      throw new IllegalArgumentException(
          "expected at most " + MAX_PLACES + " places, got one more: " + name);
    }
    names.add(name);
    return names.size() - 1;
  }

  private BlockTable table(Family family) {
    return family == Family.IPV4 ? ipv4 : ipv6;
  }

  /** Returns the number of blocks. */
  public long size() {
    return ipv4.size() + ipv6.size();
  }

  /** Returns the bytes of the arrays that hold the blocks. */
  public long estimatedBytes() {
    return ipv4.estimatedBytes() + ipv6.estimatedBytes();
  }
}

package org.bambooarch.core.block;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.bambooarch.core.block.AddressBlock.Family;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClientBlocksTest {

  private static ClientBlocks of(String... lines) throws AddressBlockException {
    List<PlacedBlock> upserts = new ArrayList<>();
    for (String line : lines) {
      String[] words = line.split(" ");
      upserts.add(new PlacedBlock(AddressBlock.parse(words[0]), words[1]));
    }
    return ClientBlocks.empty().apply(new BlockDelta(upserts, List.of()));
  }

  private static Optional<String> find(ClientBlocks blocks, String address) {
    return blocks.placeOf(InetAddress.ofLiteral(address));
  }

  @Test
  void should_find_the_longest_block_when_blocks_overlap() throws Exception {
    // given
    ClientBlocks blocks = of("10.0.0.0/8 kochi", "10.1.0.0/16 tvm", "10.1.2.3/32 kozhikode");
    // when / then
    assertThat(find(blocks, "10.1.2.3")).contains("kozhikode");
    assertThat(find(blocks, "10.1.2.4")).contains("tvm");
    assertThat(find(blocks, "10.200.0.0")).contains("kochi");
    assertThat(find(blocks, "11.0.0.0")).isEmpty();
    assertThat(find(blocks, "9.255.255.255")).isEmpty();
  }

  @Test
  void should_keep_the_two_address_families_apart() throws Exception {
    // given
    ClientBlocks blocks = of("0.0.0.0/0 kochi", "::/0 tvm", "2001:db8::/32 kozhikode");
    // when / then
    assertThat(find(blocks, "255.255.255.255")).contains("kochi");
    assertThat(find(blocks, "ffff::1")).contains("tvm");
    assertThat(find(blocks, "2001:db8:1::1")).contains("kozhikode");
    assertThat(find(blocks, "::ffff:10.0.0.1")).contains("kochi");
  }

  @Test
  void should_leave_the_old_map_as_it_was_when_a_change_is_applied() throws Exception {
    // given
    ClientBlocks before = of("10.0.0.0/8 kochi", "10.1.0.0/16 tvm");
    BlockDelta delta =
        new BlockDelta(
            List.of(new PlacedBlock(AddressBlock.parse("10.0.0.0/8"), "kozhikode")),
            List.of(AddressBlock.parse("10.1.0.0/16")));
    // when
    ClientBlocks after = before.apply(delta);
    // then
    assertThat(find(after, "10.1.0.1")).contains("kozhikode");
    assertThat(find(before, "10.1.0.1")).contains("tvm");
    assertThat(after.size()).isEqualTo(1);
  }

  /** Checks against a linear search, with nested blocks close together so that chunks split. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void should_find_the_same_places_as_a_linear_search_when_blocks_change_at_random(long seed) {
    Random random = new Random(seed);
    Family family = seed % 2 == 0 ? Family.IPV4 : Family.IPV6;
    Map<AddressBlock, String> expected = new HashMap<>();
    ClientBlocks blocks = ClientBlocks.empty();
    for (int round = 0; round < 30; round++) {
      // given
      BlockDelta delta = randomDelta(random, family, expected);
      delta.removals().forEach(expected::remove);
      delta.upserts().forEach(placed -> expected.put(placed.block(), placed.place()));
      // when
      blocks = blocks.apply(delta);
      // then
      assertThat(blocks.size()).isEqualTo(expected.size());
      for (int probe = 0; probe < 100; probe++) {
        long key = randomKey(random, family);
        assertThat(blocks.placeOf(address(family, key)))
            .isEqualTo(expectedPlace(expected, family, key));
      }
    }
  }

  private static BlockDelta randomDelta(
      Random random, Family family, Map<AddressBlock, String> expected) {
    Map<AddressBlock, String> upserts = new HashMap<>();
    int additions = random.nextInt(10) == 0 ? 3_000 : random.nextInt(300);
    for (int addition = 0; addition < additions; addition++) {
      int length = random.nextInt(4) == 0 ? random.nextInt(16) : 8 + random.nextInt(25);
      upserts.put(block(family, randomKey(random, family), length), "p" + random.nextInt(50));
    }
    List<AddressBlock> removals = new ArrayList<>();
    int oneIn = random.nextInt(10) == 0 ? 2 : 50;
    for (AddressBlock block : expected.keySet()) {
      if (random.nextInt(oneIn) == 0) {
        removals.add(block);
      }
    }
    List<PlacedBlock> placed =
        upserts.entrySet().stream().map(e -> new PlacedBlock(e.getKey(), e.getValue())).toList();
    return new BlockDelta(placed, removals);
  }

  private static long randomKey(Random random, Family family) {
    long bits = random.nextInt(1 << 6) * (1L << 26) + random.nextInt(1 << 12);
    bits += random.nextInt(1 << 14) * (1L << 12);
    return family == Family.IPV4 ? bits : (bits << 32) ^ Long.MIN_VALUE;
  }

  private static AddressBlock block(Family family, long key, int length) {
    long hostMask = length == 0 ? -1L : (1L << (family.bits() - length)) - 1;
    long zero = family == Family.IPV4 ? 0 : Long.MIN_VALUE;
    return new AddressBlock(family, ((key ^ zero) & ~hostMask) ^ zero, length);
  }

  private static InetAddress address(Family family, long key) {
    try {
      byte[] bytes = new byte[family == Family.IPV4 ? 4 : 16];
      long bits = family == Family.IPV4 ? key << 32 : key ^ Long.MIN_VALUE;
      for (int index = 0; index < Math.min(8, bytes.length); index++) {
        bytes[index] = (byte) (bits >>> (56 - 8 * index));
      }
      return InetAddress.getByAddress(bytes);
    } catch (java.net.UnknownHostException e) {
      throw new AssertionError(e);
    }
  }

  private static Optional<String> expectedPlace(
      Map<AddressBlock, String> expected, Family family, long key) {
    for (int length = family.bits(); length >= 0; length--) {
      String place = expected.get(block(family, key, length));
      if (place != null) {
        return Optional.of(place);
      }
    }
    return Optional.empty();
  }
}

package org.bambooarch.inventory;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.bambooarch.core.inventory.Inventory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class InventoryDiffTest {

  @TempDir Path tempDirectory;

  @Test
  void should_name_each_entry_and_field_when_two_inventories_differ() throws Exception {
    // given
    Inventory before = InventoryDirectory.read(InventoryFixture.SWATCHNET);
    InventoryFixture files =
        InventoryFixture.copyOf(InventoryFixture.SWATCHNET, tempDirectory)
            .replace("servers.json", "\"slots\": 4", "\"slots\": 6")
            .replace("services.json", "\"timeoutMillis\": 3000", "\"timeoutMillis\": 4000")
            .replace("customers.json", "wayanad-dye-house", "wayanad-dyers")
            .replace("rules.json", "[]", "[{\"kind\": \"REGION\", \"name\": \"tvm\"}]");
    // when
    Inventory after = InventoryDirectory.read(files.directory());
    // then
    assertThat(InventoryDiff.between(before, after))
        .containsExactly(
            "~ route catalogue/browse-books: timeoutMillis 3000 -> 4000",
            "~ server catalogue-kochi-a-1: slots 4 -> 6",
            "- customer wayanad-dye-house",
            "+ customer wayanad-dyers: requestsPerSecond=15.0 burstRequests=30",
            "+ drain REGION tvm");
  }

  @Test
  void should_return_no_lines_when_two_inventories_are_equal() throws Exception {
    Inventory inventory = InventoryDirectory.read(InventoryFixture.BLUE_MAHOE);
    assertThat(InventoryDiff.between(inventory, inventory)).isEmpty();
  }
}

package org.bambooarch.inventory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Inventory;
import org.junit.jupiter.api.Test;

class InventoryJsonTest {

  @Test
  void should_read_an_equal_inventory_when_the_text_was_written_from_one() throws Exception {
    for (var example : List.of(InventoryFixture.SWATCHNET, InventoryFixture.BLUE_MAHOE)) {
      Inventory inventory = withDrain(InventoryDirectory.read(example));
      assertThat(InventoryJson.read(InventoryJson.write(inventory))).isEqualTo(inventory);
    }
    assertThat(InventoryJson.read(InventoryJson.write(Inventory.empty())))
        .isEqualTo(Inventory.empty());
  }

  @Test
  void should_report_line_and_column_when_the_text_is_truncated() {
    String text = InventoryJson.write(Inventory.empty());
    assertThatThrownBy(() -> InventoryJson.read(text.substring(0, 20)))
        .isInstanceOf(InvalidInventoryException.class)
        .hasMessageContaining("malformed JSON at 1:");
  }

  @Test
  void should_reject_the_text_when_a_field_is_repeated() {
    assertThatThrownBy(() -> InventoryJson.read("{\"regions\":[],\"regions\":[]}"))
        .isInstanceOf(InvalidInventoryException.class)
        .hasMessageContaining("regions");
  }

  private static Inventory withDrain(Inventory inventory) {
    return new Inventory(
        inventory.regions(),
        inventory.dataCentres(),
        inventory.links(),
        inventory.services(),
        inventory.servers(),
        inventory.customers(),
        inventory.clientBlocks(),
        List.of(new DrainRule(DrainRule.Kind.REGION, inventory.regions().getFirst().name())));
  }
}

package org.bambooarch.inventory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Inventory;
import org.junit.jupiter.api.Test;

class InventoryJsonTest {

  @Test
  void should_read_the_same_inventory_when_it_was_written() throws Exception {
    for (var example : List.of(InventoryFiles.SWATCHNET, InventoryFiles.BLUE_MAHOE)) {
      Inventory inventory = withDrain(InventoryDirectory.read(example));
      assertThat(InventoryJson.read(InventoryJson.write(inventory))).isEqualTo(inventory);
    }
    assertThat(InventoryJson.read(InventoryJson.write(Inventory.empty())))
        .isEqualTo(Inventory.empty());
  }

  @Test
  void should_state_line_and_column_when_the_text_is_cut_off() {
    String text = InventoryJson.write(Inventory.empty());
    assertThatThrownBy(() -> InventoryJson.read(text.substring(0, 20)))
        .isInstanceOf(InvalidInventoryException.class)
        .hasMessageContaining("malformed JSON at 1:");
  }

  @Test
  void should_refuse_a_field_that_is_repeated_when_reading() {
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

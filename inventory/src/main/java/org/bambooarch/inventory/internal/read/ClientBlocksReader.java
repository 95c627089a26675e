package org.bambooarch.inventory.internal.read;

import org.bambooarch.core.inventory.ClientBlock;

/** Reads the address blocks of callers. */
final class ClientBlocksReader {

  private ClientBlocksReader() {}

  static void read(FieldReader file, InventoryDraft draft) {
    for (FieldReader reader : file.objects("clientBlocks")) {
      ClientBlock block = new ClientBlock(reader.text("cidr"), reader.text("dataCentre"));
      draft.clientBlocks().add(new Located<>(block, reader.location()));
      String outer = reader.textOrEmpty("exceptionTo");
      if (!outer.isEmpty()) {
        draft.outerBlocks().put(reader.location(), outer);
      }
      reader.finish();
    }
  }
}

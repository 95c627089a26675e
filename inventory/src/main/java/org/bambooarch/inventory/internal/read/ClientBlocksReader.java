package org.bambooarch.inventory.internal.read;

import org.bambooarch.core.inventory.ClientBlock;

/** Reads client address blocks and the enclosing blocks that they declare. */
final class ClientBlocksReader {

  private ClientBlocksReader() {}

  static void read(FieldReader file, InventoryDraft draft) {
    for (FieldReader reader : file.objects("clientBlocks")) {
      ClientBlock block = new ClientBlock(reader.string("cidr"), reader.string("dataCentre"));
      draft.clientBlocks().add(new Located<>(block, reader.location()));
      String outerCidr = reader.stringOrEmpty("exceptionTo");
      if (!outerCidr.isEmpty()) {
        draft.declaredOuterBlocks().put(reader.location(), outerCidr);
      }
      reader.reportUnknownFields();
    }
  }
}

package org.bambooarch.inventory.internal.read;

import org.bambooarch.core.inventory.Server;

/** Reads target servers with their addresses, slots and connection limits. */
final class ServersReader {

  private ServersReader() {}

  static void read(FieldReader file, InventoryDraft draft) {
    for (FieldReader reader : file.objects("servers")) {
      draft.servers().add(new Located<>(server(reader), reader.location()));
      reader.reportUnknownFields();
    }
  }

  private static Server server(FieldReader reader) {
    return new Server(
        reader.string("name"),
        reader.string("service"),
        reader.string("dataCentre"),
        reader.string("host"),
        (int) reader.wholeNumber("port", 1, InventoryLimits.MAX_PORT),
        (int) reader.wholeNumber("slots", 1, InventoryLimits.MAX_SLOTS),
        (int) reader.wholeNumber("connectionLimit", 1, InventoryLimits.MAX_CONNECTIONS));
  }
}

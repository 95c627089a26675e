package org.bambooarch.inventory.internal.read;

import org.bambooarch.core.inventory.Server;

/** Reads target servers. */
final class ServersReader {

  private ServersReader() {}

  static void read(FieldReader file, InventoryDraft draft) {
    for (FieldReader reader : file.objects("servers")) {
      draft.servers().add(new Located<>(server(reader), reader.location()));
      reader.finish();
    }
  }

  private static Server server(FieldReader reader) {
    return new Server(
        reader.text("name"),
        reader.text("service"),
        reader.text("dataCentre"),
        reader.text("host"),
        (int) reader.whole("port", 1, Limits.MAX_PORT),
        (int) reader.whole("slots", 1, Limits.MAX_SLOTS),
        (int) reader.whole("connectionLimit", 1, Limits.MAX_CONNECTIONS));
  }
}

package org.bambooarch.inventory.internal.read;

import org.bambooarch.core.inventory.Customer;

/** Reads customers with their rates and bursts. */
final class CustomersReader {

  private CustomersReader() {}

  static void read(FieldReader file, InventoryDraft draft) {
    for (FieldReader reader : file.objects("customers")) {
      draft.customers().add(new Located<>(customer(reader), reader.location()));
      reader.finish();
    }
  }

  private static Customer customer(FieldReader reader) {
    return new Customer(
        reader.text("name"),
        reader.number(
            "requestsPerSecond", Limits.MIN_REQUESTS_PER_SECOND, Limits.MAX_REQUESTS_PER_SECOND),
        reader.whole("burstRequests", 1, Limits.MAX_BURST_REQUESTS));
  }
}

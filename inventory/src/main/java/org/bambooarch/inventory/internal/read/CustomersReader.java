package org.bambooarch.inventory.internal.read;

import org.bambooarch.core.inventory.Customer;

/** Reads customers with their request rates and burst sizes. */
final class CustomersReader {

  private CustomersReader() {}

  static void read(FieldReader file, InventoryDraft draft) {
    for (FieldReader reader : file.objects("customers")) {
      draft.customers().add(new Located<>(customer(reader), reader.location()));
      reader.reportUnknownFields();
    }
  }

  private static Customer customer(FieldReader reader) {
    return new Customer(
        reader.string("name"),
        reader.number(
            "requestsPerSecond",
            InventoryLimits.MIN_REQUESTS_PER_SECOND,
            InventoryLimits.MAX_REQUESTS_PER_SECOND),
        reader.wholeNumber("burstRequests", 1, InventoryLimits.MAX_BURST_REQUESTS));
  }
}

package org.bambooarch.inventory.internal.read;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Service;

/** Reads services and their routes; a route without {@code openToAll} needs a customer key. */
final class ServicesReader {

  private ServicesReader() {}

  static void read(FieldReader file, InventoryDraft draft) {
    for (FieldReader reader : file.objects("services")) {
      Service service = new Service(reader.string("name"), routes(reader));
      draft.services().add(new Located<>(service, reader.location()));
      reader.reportUnknownFields();
    }
  }

  private static List<Route> routes(FieldReader service) {
    List<Route> routes = new ArrayList<>();
    for (FieldReader reader : service.objects("routes")) {
      routes.add(route(reader));
      reader.reportUnknownFields();
    }
    return routes;
  }

  private static Route route(FieldReader reader) {
    return new Route(
        reader.string("name"),
        reader.string("method"),
        reader.string("pathPrefix"),
        reader.bool("idempotent"),
        reader.enumConstant("priority", PriorityClass.class),
        reader.wholeNumber("expectedAnswerBytes", 0, InventoryLimits.MAX_EXPECTED_ANSWER_BYTES),
        reader.wholeNumber("timeoutMillis", 1, InventoryLimits.MAX_TIMEOUT_MILLIS),
        reader.boolOrFalse("openToAll"));
  }
}

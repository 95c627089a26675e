package org.bambooarch.inventory.internal.read;

import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Service;

/** Reads services and their routes. */
final class ServicesReader {

  private ServicesReader() {}

  static void read(FieldReader file, InventoryDraft draft) {
    for (FieldReader reader : file.objects("services")) {
      Service service = new Service(reader.text("name"), routes(reader));
      draft.services().add(new Located<>(service, reader.location()));
      reader.finish();
    }
  }

  private static List<Route> routes(FieldReader service) {
    List<Route> routes = new ArrayList<>();
    for (FieldReader reader : service.objects("routes")) {
      routes.add(route(reader));
      reader.finish();
    }
    return routes;
  }

  private static Route route(FieldReader reader) {
    return new Route(
        reader.text("name"),
        reader.text("method"),
        reader.text("pathPrefix"),
        reader.bool("idempotent"),
        reader.constant("priority", PriorityClass.class),
        reader.whole("expectedAnswerBytes", 0, Limits.MAX_ANSWER_BYTES),
        reader.whole("timeoutMillis", 1, Limits.MAX_TIMEOUT_MILLIS),
        reader.boolOrFalse("openToAll"));
  }
}

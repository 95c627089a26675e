package org.bambooarch.inventory.internal.write;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import org.bambooarch.core.inventory.ClientBlock;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.DrainRule;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Link;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.inventory.Service;

/**
 * Writes an inventory as one JSON object without whitespace and with its fields in a fixed order.
 */
public final class CanonicalWriter {

  private static final JsonFactory FACTORY = new JsonFactory();

  private CanonicalWriter() {}

  /** Returns the canonical text; lists keep the order that they have in the inventory. */
  public static String write(Inventory inventory) {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = FACTORY.createGenerator(text)) {
      json.writeStartObject();
      writeArray(json, "regions", inventory.regions(), CanonicalWriter::writeRegion);
      writeArray(json, "dataCentres", inventory.dataCentres(), CanonicalWriter::writeDataCentre);
      writeArray(json, "links", inventory.links(), CanonicalWriter::writeLink);
      writeArray(json, "services", inventory.services(), CanonicalWriter::writeService);
      writeArray(json, "servers", inventory.servers(), CanonicalWriter::writeServer);
      writeArray(json, "customers", inventory.customers(), CanonicalWriter::writeCustomer);
      writeArray(json, "clientBlocks", inventory.clientBlocks(), CanonicalWriter::writeClientBlock);
      writeArray(json, "drains", inventory.drains(), CanonicalWriter::writeDrain);
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException("writing the inventory as JSON to memory failed", e);
    }
    return text.toString();
  }

  private static <T> void writeArray(
      JsonGenerator json, String name, List<T> entries, EntryWriter<T> writer) throws IOException {
    json.writeArrayFieldStart(name);
    for (T entry : entries) {
      json.writeStartObject();
      writer.write(json, entry);
      json.writeEndObject();
    }
    json.writeEndArray();
  }

  private static void writeRegion(JsonGenerator json, Region entry) throws IOException {
    json.writeStringField("name", entry.name());
  }

  private static void writeDataCentre(JsonGenerator json, DataCentre entry) throws IOException {
    json.writeStringField("name", entry.name());
    json.writeStringField("region", entry.region());
  }

  private static void writeLink(JsonGenerator json, Link entry) throws IOException {
    json.writeStringField("from", entry.fromRegion());
    json.writeStringField("to", entry.toRegion());
    json.writeNumberField("capBytesPerSecond", entry.capBytesPerSecond());
    json.writeNumberField("delayMicros", entry.delayMicros());
  }

  private static void writeService(JsonGenerator json, Service entry) throws IOException {
    json.writeStringField("name", entry.name());
    writeArray(json, "routes", entry.routes(), CanonicalWriter::writeRoute);
  }

  private static void writeRoute(JsonGenerator json, Route entry) throws IOException {
    json.writeStringField("name", entry.name());
    json.writeStringField("method", entry.method());
    json.writeStringField("pathPrefix", entry.pathPrefix());
    json.writeBooleanField("idempotent", entry.idempotent());
    json.writeStringField("priority", entry.priority().name());
    json.writeNumberField("expectedAnswerBytes", entry.expectedAnswerBytes());
    json.writeNumberField("timeoutMillis", entry.timeoutMillis());
    json.writeBooleanField("openToAll", entry.openToAll());
  }

  private static void writeServer(JsonGenerator json, Server entry) throws IOException {
    json.writeStringField("name", entry.name());
    json.writeStringField("service", entry.service());
    json.writeStringField("dataCentre", entry.dataCentre());
    json.writeStringField("host", entry.host());
    json.writeNumberField("port", entry.port());
    json.writeNumberField("slots", entry.slots());
    json.writeNumberField("connectionLimit", entry.connectionLimit());
  }

  private static void writeCustomer(JsonGenerator json, Customer entry) throws IOException {
    json.writeStringField("name", entry.name());
    json.writeNumberField("requestsPerSecond", entry.requestsPerSecond());
    json.writeNumberField("burstRequests", entry.burstRequests());
  }

  private static void writeClientBlock(JsonGenerator json, ClientBlock entry) throws IOException {
    json.writeStringField("cidr", entry.cidr());
    json.writeStringField("dataCentre", entry.dataCentre());
  }

  private static void writeDrain(JsonGenerator json, DrainRule entry) throws IOException {
    json.writeStringField("kind", entry.kind().name());
    json.writeStringField("name", entry.name());
  }

  /** Writes the fields of one entry into the JSON object that is open. */
  @FunctionalInterface
  private interface EntryWriter<T> {
    void write(JsonGenerator json, T entry) throws IOException;
  }
}

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

/** Writes an inventory as one JSON object without white space, fields in a fixed order. */
public final class CanonicalWriter {

  private static final JsonFactory FACTORY = new JsonFactory();

  private CanonicalWriter() {}

  /** Returns the canonical text. */
  public static String write(Inventory inventory) {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = FACTORY.createGenerator(text)) {
      json.writeStartObject();
      array(json, "regions", inventory.regions(), CanonicalWriter::region);
      array(json, "dataCentres", inventory.dataCentres(), CanonicalWriter::dataCentre);
      array(json, "links", inventory.links(), CanonicalWriter::link);
      array(json, "services", inventory.services(), CanonicalWriter::service);
      array(json, "servers", inventory.servers(), CanonicalWriter::server);
      array(json, "customers", inventory.customers(), CanonicalWriter::customer);
      array(json, "clientBlocks", inventory.clientBlocks(), CanonicalWriter::clientBlock);
      array(json, "drains", inventory.drains(), CanonicalWriter::drain);
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory failed", e);
    }
    return text.toString();
  }

  private static <T> void array(JsonGenerator json, String name, List<T> rows, RowWriter<T> writer)
      throws IOException {
    json.writeArrayFieldStart(name);
    for (T row : rows) {
      json.writeStartObject();
      writer.write(json, row);
      json.writeEndObject();
    }
    json.writeEndArray();
  }

  private static void region(JsonGenerator json, Region row) throws IOException {
    json.writeStringField("name", row.name());
  }

  private static void dataCentre(JsonGenerator json, DataCentre row) throws IOException {
    json.writeStringField("name", row.name());
    json.writeStringField("region", row.region());
  }

  private static void link(JsonGenerator json, Link row) throws IOException {
    json.writeStringField("from", row.fromRegion());
    json.writeStringField("to", row.toRegion());
    json.writeNumberField("capBytesPerSecond", row.capBytesPerSecond());
    json.writeNumberField("delayMicros", row.delayMicros());
  }

  private static void service(JsonGenerator json, Service row) throws IOException {
    json.writeStringField("name", row.name());
    array(json, "routes", row.routes(), CanonicalWriter::route);
  }

  private static void route(JsonGenerator json, Route row) throws IOException {
    json.writeStringField("name", row.name());
    json.writeStringField("method", row.method());
    json.writeStringField("pathPrefix", row.pathPrefix());
    json.writeBooleanField("idempotent", row.idempotent());
    json.writeStringField("priority", row.priority().name());
    json.writeNumberField("expectedAnswerBytes", row.expectedAnswerBytes());
    json.writeNumberField("timeoutMillis", row.timeoutMillis());
    json.writeBooleanField("openToAll", row.openToAll());
  }

  private static void server(JsonGenerator json, Server row) throws IOException {
    json.writeStringField("name", row.name());
    json.writeStringField("service", row.service());
    json.writeStringField("dataCentre", row.dataCentre());
    json.writeStringField("host", row.host());
    json.writeNumberField("port", row.port());
    json.writeNumberField("slots", row.slots());
    json.writeNumberField("connectionLimit", row.connectionLimit());
  }

  private static void customer(JsonGenerator json, Customer row) throws IOException {
    json.writeStringField("name", row.name());
    json.writeNumberField("requestsPerSecond", row.requestsPerSecond());
    json.writeNumberField("burstRequests", row.burstRequests());
  }

  private static void clientBlock(JsonGenerator json, ClientBlock row) throws IOException {
    json.writeStringField("cidr", row.cidr());
    json.writeStringField("dataCentre", row.dataCentre());
  }

  private static void drain(JsonGenerator json, DrainRule row) throws IOException {
    json.writeStringField("kind", row.kind().name());
    json.writeStringField("name", row.name());
  }

  /** Writes the fields of one row. */
  @FunctionalInterface
  private interface RowWriter<T> {
    void write(JsonGenerator json, T row) throws IOException;
  }
}

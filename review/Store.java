import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.Predicate;

/**
 * The platform's store: rows in tables, a feed of changes with history, and transactions. Each
 * instance gets a port of its own, so that the store can turn single instances away.
 */
final class Store implements AutoCloseable {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private record Row(String key, String value, long version, boolean deleted) {}

  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private long version;
  private volatile Predicate<Integer> silentFor = port -> false;

  /** Opens a port for one instance and returns its address. */
  synchronized InetSocketAddress open(String ip) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(ip, 0), 50);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    int port = server.getAddress().getPort();
    server.createContext("/-/", exchange -> handle(port, exchange));
    server.start();
    servers.add(server);
    return new InetSocketAddress(ip, port);
  }

  /** Returns the port that was opened on an address. */
  synchronized int portOf(String ip) {
    for (HttpServer server : servers) {
      if (server.getAddress().getHostString().equals(ip)) {
        return server.getAddress().getPort();
      }
    }
    throw new IllegalArgumentException("no port was opened on " + ip);
  }

  /**
   * While the predicate holds for an instance's port, no call of it gets a response; a call whose
   * response falls into that time never gets one.
   */
  void silentFor(Predicate<Integer> silent) {
    silentFor = silent;
  }

  synchronized void put(String table, String key, String value) {
    version++;
    String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    table(table).put(key, new Row(key, encoded, version, false));
    notifyAll();
  }

  synchronized void remove(String table, String key) {
    version++;
    table(table).put(key, new Row(key, "", version, true));
    notifyAll();
  }

  private TreeMap<String, Row> table(String name) {
    return tables.computeIfAbsent(name, n -> new TreeMap<>());
  }

  private void handle(int port, HttpExchange exchange) throws IOException {
    try {
      byte[] request = exchange.getRequestBody().readAllBytes();
      if (silentFor.test(port)) {
        return;
      }
      Map<String, String> query = new HashMap<>();
      String rawQuery = exchange.getRequestURI().getRawQuery();
      for (String part : rawQuery == null ? new String[0] : rawQuery.split("&")) {
        int equals = part.indexOf('=');
        query.put(
            part.substring(0, equals),
            java.net.URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
      String response =
          switch (exchange.getRequestURI().getPath()) {
            case "/-/rows-get" -> get(query);
            case "/-/rows-feed" -> feed(query);
            case "/-/rows-tx" -> transact(request);
            default -> null;
          };
      Thread.sleep(4);
      if (silentFor.test(port)) {
        // The response is lost, and the connection delivers nothing further.
        return;
      }
      byte[] body = response == null ? new byte[0] : response.getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().add("Content-Type", "application/json");
      exchange.getResponseHeaders().add("Store-Era", "0");
      exchange.sendResponseHeaders(response == null ? 404 : 200, body.length);
      exchange.getResponseBody().write(body);
      exchange.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized String get(Map<String, String> query) {
    List<Row> rows =
        table(query.get("table")).tailMap(query.getOrDefault("from", "")).values().stream()
            .filter(row -> !row.deleted())
            .toList();
    return response(rows);
  }

  private synchronized String feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long end = System.nanoTime() + Long.parseLong(query.get("wait-ms")) * 1_000_000L;
    while (true) {
      List<Row> rows =
          table(query.get("table")).values().stream()
              .filter(row -> row.version() > after)
              .sorted(Comparator.comparingLong(Row::version))
              .toList();
      long millis = (end - System.nanoTime()) / 1_000_000L;
      if (!rows.isEmpty() || millis <= 0) {
        return response(rows);
      }
      wait(millis);
    }
  }

  private synchronized String transact(byte[] request) throws IOException {
    JsonNode transaction = MAPPER.readTree(request);
    for (JsonNode row : transaction.path("put")) {
      put(
          row.get("table").asText(),
          row.get("key").asText(),
          new String(Base64.getDecoder().decode(row.get("value").asText()), StandardCharsets.UTF_8));
    }
    for (JsonNode row : transaction.path("remove")) {
      remove(row.get("table").asText(), row.get("key").asText());
    }
    return response(List.of());
  }

  private String response(List<Row> rows) {
    ObjectNode response = MAPPER.createObjectNode();
    response.put("ver", version).put("now", System.nanoTime() / 1_000_000L + "ms").put("has-more", false);
    response.withArray("rows");
    for (Row row : rows) {
      ObjectNode node = response.withArray("rows").addObject();
      node.put("key", row.key()).put("ver", row.version());
      if (row.deleted()) {
        node.put("tombstone", true);
      } else {
        node.put("value", row.value());
      }
    }
    return response.toString();
  }

  @Override
  public void close() {
    servers.forEach(server -> server.stop(0));
  }
}

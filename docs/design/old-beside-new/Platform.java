import com.sun.net.httpserver.HttpServer;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.bambooarch.platform.fake.StoreServer;

/**
 * A stand-in of the platform for two gateways: its store, one server on port 20500 and a control
 * port 20501. Prints the address of the store, then waits for the end of its input.
 */
class Platform {

  private static final String CONFIG =
      """
      {"version":"01","routes":[{"name":"reads","host":"shop.example","prefix":"/reads/",
        "kind":"safe","timeout":"5s","service":"shop"}],
       "services":[{"name":"shop"}],
       "tenants":[{"name":"kerala","api-keys":["key-of-kerala"],"rate-per-s":200,"burst":100}]}
      """;

  private static final String SERVER =
      """
      {"addr":"127.0.0.1:20500","info":{"service":"shop","zone":"north-a","slots":8},
       "status":{"state":"ready"},"born":1}
      """;

  public static void main(String[] arguments) throws Exception {
    StoreServer store = new StoreServer();
    store.put("op", "config", CONFIG);
    store.put("servers", "server-1", SERVER);
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 20500), 50);
    server.createContext(
        "/",
        exchange -> {
          byte[] body = "served".getBytes(StandardCharsets.UTF_8);
          String id = exchange.getRequestHeaders().getFirst("request-id");
          exchange.getResponseHeaders().add("request-id", id == null ? "" : id);
          exchange.getResponseHeaders().add("server-seal", "s");
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
    HttpServer control = HttpServer.create(new InetSocketAddress("127.0.0.1", 20501), 5);
    control.createContext(
        "/",
        exchange -> {
          switch (exchange.getRequestURI().getPath()) {
            case "/close" -> store.put("op", "evacuate/north-a", "{}");
            case "/open" -> store.delete("op", "evacuate/north-a");
            default -> {}
          }
          exchange.sendResponseHeaders(204, -1);
          exchange.close();
        });
    control.start();
    System.out.println(store.address().getAddress().getHostAddress() + ":" + store.address().getPort());
    while (System.in.read() >= 0) {}
    System.exit(0);
  }
}

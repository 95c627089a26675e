import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Orders beside downloads whose clients read slowly, at an instance that is stopped as planned. */
final class StalledClient {

  private static final int ORDERS = 12;
  private static final int SMALL_WINDOW_BYTES = 8 * 1024;
  private static final long DEADLINE_MILLIS = 20_000;
  private static final double ROUTE_TIMEOUT_SECONDS = 8;

  /** What a client saw of one order. */
  private static final class Order {
    String id;
    double sentSeconds;
    double endedSeconds;
    Client.Response response = new Client.Response();
  }

  private final Lab lab;
  private final Set<String> arrived = ConcurrentHashMap.newKeySet();
  private final Map<String, Double> answeredSeconds = new ConcurrentHashMap<>();

  private StalledClient(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(arguments);
    try {
      new StalledClient(lab).play();
    } catch (Throwable e) {
      lab.fail(e);
    }
  }

  private void play() throws Exception {
    Store store = new Store();
    String routes =
        Deployment.route("pull", "safe", "20s", "ledger")
            + ","
            + Deployment.route("order", "unsafe", "8s", "ledger");
    store.put("op", "config", Deployment.config("0000000c", routes, "ledger"));
    Backend server = new Backend("i-ledger0", lab.ip(100), this::run);
    store.put("servers", server.id, server.row("ledger", "kochi-a", "ready", 1_000));
    Lab.Instance stopped = lab.instance("kochi-a", store.open(lab.ip(2)));
    Lab.Instance other = lab.instance("kochi-b", store.open(lab.ip(3)));
    lab.start(stopped);
    lab.start(other);
    lab.awaitReady(stopped);
    lab.awaitReady(other);
    int longest = Capacity.longestUnread(lab, stopped, (bytes, id) -> pull(stopped, bytes, id));
    // The instance is in touch: `contact` has passed since its start and since the last look.
    Thread.sleep(4_500);

    List<Client> downloads = new ArrayList<>();
    for (int more = 12_288; more <= 65_536; more += 8_192) {
      downloads.add(pull(stopped, longest + more, "pull-" + more));
    }
    Thread.sleep(700);
    lab.note("%d clients have stopped reading", downloads.size());
    List<Order> orders = new ArrayList<>();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < ORDERS; i++) {
      Order order = new Order();
      order.id = "order-" + i;
      orders.add(order);
      clients.add(Thread.ofVirtual().start(() -> send(stopped, order)));
    }
    Thread.sleep(300);
    if (lab.trouble) {
      lab.signal(stopped, "TERM");
      if (!stopped.process.waitFor(8, TimeUnit.SECONDS)) {
        throw new IllegalStateException("the instance did not end");
      }
      lab.note("%s has ended", stopped.name);
    }
    for (Thread client : clients) {
      client.join();
    }
    judge(orders);
  }

  private void judge(List<Order> orders) {
    int lost = 0;
    for (Order order : orders) {
      boolean beforeTimeout = order.endedSeconds - order.sentSeconds < ROUTE_TIMEOUT_SECONDS;
      boolean answered = answeredSeconds.containsKey(order.id);
      lab.note(
          "%s: status=%d complete=%s after %.3f s, run=%s, answered by its server after %.3f s %s",
          order.id,
          order.response.status,
          order.response.complete,
          order.endedSeconds - order.sentSeconds,
          arrived.contains(order.id),
          answered ? answeredSeconds.get(order.id) - order.sentSeconds : -1,
          order.response.problem);
      if (!order.response.complete && beforeTimeout && answered) {
        lost++;
      }
    }
    lab.finish(
        lost > 0,
        "LOST: %d of %d orders were run and answered by their server, and their connection ended"
            + " without an answer",
        lost,
        orders.size());
  }

  private static Client pull(Lab.Instance instance, int bytes, String id) throws IOException {
    Client client = new Client(instance.front(), SMALL_WINDOW_BYTES);
    client.send(
        Client.head("GET", "/pull/" + bytes, id, DEADLINE_MILLIS, Deployment.KEY, ""));
    return client;
  }

  private void send(Lab.Instance instance, Order order) {
    try (Client client = new Client(instance.front(), 0)) {
      order.sentSeconds = Lab.seconds();
      client.send(
          Client.head(
              "POST",
              "/order/sample",
              order.id,
              DEADLINE_MILLIS,
              Deployment.KEY,
              "Content-Length: 0\r\n"));
      order.response = client.read((int) DEADLINE_MILLIS);
    } catch (IOException e) {
      order.response.problem = e.toString();
    }
    order.endedSeconds = Lab.seconds();
  }

  private void run(Backend.Request request) throws IOException {
    if (request.path.startsWith("/pull/")) {
      request.respond(200, "", new byte[Integer.parseInt(request.path.substring(6))]);
      return;
    }
    arrived.add(request.id());
    request.respond(200, "", "booked".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
    answeredSeconds.put(request.id(), Lab.seconds());
  }
}

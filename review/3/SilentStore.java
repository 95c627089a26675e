import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** A server that leaves after the store has not answered one instance for some seconds. */
final class SilentStore {

  private static final int SERVERS = 5;
  private static final long CONTACT_MILLIS = 4_000;
  private static final double DRAIN_SECONDS = 2.5;

  /** Time for which the leaving server serves after its report was accepted. */
  private static final long SERVES_ON_MILLIS = 5_000;

  private static final long ORDER_INTERVAL_MILLIS = 20;
  private static final long WORK_MILLIS = 600;

  private record Arrival(String id, String server, double seconds) {}

  /** An order as its client saw it. */
  private record Sent(String id, String instance, double seconds, int status) {}

  private final Lab lab;
  private final List<Arrival> arrivals = java.util.Collections.synchronizedList(new ArrayList<>());
  private final Map<String, Sent> sent = new ConcurrentHashMap<>();

  private SilentStore(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(arguments);
    try {
      new SilentStore(lab).play();
    } catch (Throwable e) {
      lab.fail(e);
    }
  }

  private void play() throws Exception {
    Store store = new Store();
    store.put(
        "op",
        "config",
        Deployment.config("0000000c", Deployment.route("order", "unsafe", "4s", "desk"), "desk"));
    List<Backend> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      Backend server = new Backend("i-desk" + i, lab.ip(100 + i), this::order);
      servers.add(server);
      store.put("servers", server.id, server.row("desk", "kochi-a", "ready", 1_000));
    }
    List<Lab.Instance> instances = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      instances.add(lab.instance(i == 0 ? "kochi-a" : "kochi-b", store.open(lab.ip(2 + i))));
    }
    Lab.Instance cutOff = instances.get(2);
    int port = store.portOf(lab.ip(4));
    for (Lab.Instance instance : instances) {
      lab.start(instance);
    }
    for (Lab.Instance instance : instances) {
      lab.awaitReady(instance);
    }
    AtomicBoolean stop = new AtomicBoolean();
    List<Thread> clients = new ArrayList<>();
    for (Lab.Instance instance : instances) {
      clients.add(Thread.ofVirtual().start(() -> sendOrders(instance, stop)));
    }
    Thread.sleep(CONTACT_MILLIS + 500);

    if (lab.trouble) {
      lab.note("the store stops answering %s", cutOff.name);
      store.silentFor(p -> p == port);
    }
    Thread.sleep(1_000);
    leave(store, servers.get(SERVERS - 1));
    Thread.sleep(4_000);
    if (lab.trouble) {
      lab.note("the store answers %s again", cutOff.name);
      store.silentFor(p -> false);
    }
    // From here on the store is stable and the instance in touch.
    Thread.sleep(CONTACT_MILLIS + 1_000);
    Backend leaving = servers.getFirst();
    double acknowledged = leave(store, leaving);
    Thread.sleep(SERVES_ON_MILLIS);
    leaving.close();
    store.remove("servers", leaving.id);
    lab.note("%s has ended", leaving.id);
    Thread.sleep(2_000);
    stop.set(true);
    for (Thread client : clients) {
      client.join();
    }
    // The last orders get their answers.
    Thread.sleep(2_000);
    judge(leaving, acknowledged);
  }

  /** Reports a server as draining; returns the time at which the store has accepted that. */
  private double leave(Store store, Backend server) {
    store.put("servers", server.id, server.row("desk", "kochi-a", "draining", 1_000));
    lab.note("the store has accepted that %s is draining", server.id);
    return Lab.seconds();
  }

  private void judge(Backend leaving, double acknowledged) {
    int late = 0;
    int cut = 0;
    for (Arrival arrival : List.copyOf(arrivals)) {
      Sent order = sent.get(arrival.id());
      boolean tooLate =
          arrival.server().equals(leaving.id)
              && arrival.seconds() - acknowledged > DRAIN_SECONDS
              && order != null;
      if (tooLate) {
        late++;
        cut += order.status() == 200 ? 0 : 1;
        lab.note(
            "%s from %s, sent at %.3f, reached %s %.3f s after the acknowledgement, status %d",
            order.id(),
            order.instance(),
            order.seconds(),
            leaving.id,
            arrival.seconds() - acknowledged,
            order.status());
      }
    }
    lab.finish(
        late > 0,
        "DRAIN: %d orders reached the draining server later than %.1f s after the acknowledgement;"
            + " %d of them were cut off when it ended",
        late,
        DRAIN_SECONDS,
        cut);
  }

  private void sendOrders(Lab.Instance instance, AtomicBoolean stop) {
    for (int i = 0; !stop.get(); i++) {
      String id = instance.name + "-" + i;
      Thread.ofVirtual().start(() -> sendOrder(instance, id));
      try {
        Thread.sleep(ORDER_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void sendOrder(Lab.Instance instance, String id) {
    double seconds = Lab.seconds();
    int status = 0;
    try (Client client = new Client(instance.front(), 0)) {
      String more = "Content-Length: 0\r\nCookie: Affinity-Key=" + id + "\r\n";
      client.send(Client.head("POST", "/order/sample", id, 4_000, Deployment.KEY, more));
      status = client.read(5_000).status;
    } catch (IOException e) {
      lab.note("%s: %s", id, e);
    }
    sent.put(id, new Sent(id, instance.name, seconds, status));
    if (status != 200) {
      lab.note("%s: status %d", id, status);
    }
  }

  private void order(Backend.Request request) throws IOException, InterruptedException {
    arrivals.add(
        new Arrival(request.id(), request.header("Expect-Instance"), Lab.seconds()));
    Thread.sleep(WORK_MILLIS);
    request.respond(200, "", "booked".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
  }
}

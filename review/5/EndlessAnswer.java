import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** One server of seven answers with a body of tiny chunks that does not end. */
final class EndlessAnswer {

  private static final int CATALOGUE_SERVERS = 7;
  private static final double TIMEOUT_SECONDS = 2.5;
  private static final double LATE_SECONDS = 3.0;
  private static final long DEADLINE_MILLIS = 4_000;
  private static final long LOOKUP_INTERVAL_MILLIS = 40;
  private static final long ORDER_INTERVAL_MILLIS = 100;
  private static final long TROUBLE_MILLIS = 15_000;

  /** Requests without an answer above which the rule's share counts. */
  private static final int MIN_LATE = 8;

  /** A request that was sent at a time, and the time at which its client had its answer or left. */
  private record Ended(String id, double sentSeconds, double seconds, int status, String problem) {}

  private final Lab lab;
  private final List<Ended> ended = new CopyOnWriteArrayList<>();
  private volatile boolean inTrouble;

  private EndlessAnswer(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(arguments);
    try {
      new EndlessAnswer(lab).play();
    } catch (Throwable e) {
      lab.fail(e);
    }
  }

  private void play() throws Exception {
    Store store = new Store();
    String routes =
        Deployment.route("look", "safe", "2500ms", "catalogue")
            + ","
            + Deployment.route("order", "unsafe", "2500ms", "desk");
    store.put("op", "config", Deployment.config("0000000c", routes, "catalogue", "desk"));
    for (int i = 0; i < CATALOGUE_SERVERS; i++) {
      boolean faulty = i == 0;
      Backend server =
          new Backend("i-cat" + i, lab.ip(100 + i), request -> lookUp(request, faulty));
      store.put("servers", server.id, server.row("catalogue", "kochi-a", "ready", 1_000));
    }
    for (int i = 0; i < 3; i++) {
      Backend server = new Backend("i-desk" + i, lab.ip(120 + i), this::answer);
      store.put("servers", server.id, server.row("desk", "kochi-a", "ready", 1_000));
    }
    Lab.Instance instance = lab.instance("kochi-a", store.open(lab.ip(2)));
    Lab.Instance other = lab.instance("kochi-b", store.open(lab.ip(3)));
    lab.start(instance);
    lab.start(other);
    lab.awaitReady(instance);
    lab.awaitReady(other);

    Thread lookUps = Thread.ofVirtual().start(() -> sendAll(instance, "GET", "look"));
    Thread orders = Thread.ofVirtual().start(() -> sendAll(instance, "POST", "order"));
    // The instance is in touch: `contact` has passed since its start.
    Thread.sleep(4_500);
    lab.note("from now on i-cat0 answers %s", lab.trouble ? "without end" : "as before");
    inTrouble = lab.trouble;
    double begin = Lab.seconds();
    Thread.sleep(TROUBLE_MILLIS);
    lookUps.interrupt();
    orders.interrupt();
    Thread.sleep(DEADLINE_MILLIS + 1_000);
    judge(begin);
  }

  private void judge(double begin) {
    int sent = 0;
    int unanswered = 0;
    int late = 0;
    int lateOrders = 0;
    for (Ended request : ended) {
      if (request.sentSeconds() < begin) {
        continue;
      }
      sent++;
      double seconds = request.seconds() - request.sentSeconds();
      if (seconds > TIMEOUT_SECONDS) {
        unanswered++;
        lab.note(
            "%s sent at %.3f: status=%d after %.3f s %s",
            request.id(), request.sentSeconds(), request.status(), seconds, request.problem());
      }
      if (seconds > LATE_SECONDS) {
        late++;
        lateOrders += request.id().startsWith("order") ? 1 : 0;
      }
    }
    lab.finish(
        late >= MIN_LATE && 2 * late > unanswered,
        "CONFIG: of %d requests, %d were unanswered at their route's timeout, and %d of these had no"
            + " answer half a second later (%d of them orders, for sound servers of another"
            + " service)",
        sent,
        unanswered,
        late,
        lateOrders);
  }

  private void sendAll(Lab.Instance instance, String method, String route) {
    long intervalMillis = method.equals("GET") ? LOOKUP_INTERVAL_MILLIS : ORDER_INTERVAL_MILLIS;
    for (int i = 0; ; i++) {
      String id = route + "-" + i;
      Thread.ofVirtual().start(() -> send(instance, method, route, id));
      try {
        Thread.sleep(intervalMillis);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends a request and reads the answer until the client's deadline. */
  private void send(Lab.Instance instance, String method, String route, String id) {
    double sentSeconds = Lab.seconds();
    int status = 0;
    String problem = "";
    try (Client client = new Client(instance.front(), 0)) {
      Thread leave =
          Thread.ofVirtual()
              .start(
                  () -> {
                    try {
                      Thread.sleep(DEADLINE_MILLIS);
                      client.close();
                    } catch (InterruptedException | IOException e) {
                      return;
                    }
                  });
      String more =
          "Cookie: Affinity-Key=" + id + "\r\n"
              + (method.equals("POST") ? "Content-Length: 0\r\n" : "");
      client.send(
          Client.head(method, "/" + route + "/" + id, id, DEADLINE_MILLIS, Deployment.KEY, more));
      Client.Response response = client.read((int) DEADLINE_MILLIS);
      status = response.status;
      problem = response.problem;
      leave.interrupt();
    } catch (IOException e) {
      problem = e.toString();
    }
    ended.add(new Ended(id, sentSeconds, Lab.seconds(), status, problem));
  }

  private void answer(Backend.Request request) throws IOException, InterruptedException {
    Thread.sleep(50);
    request.respond(200, "", new byte[400]);
  }

  private void lookUp(Backend.Request request, boolean faulty)
      throws IOException, InterruptedException {
    if (!faulty || !inTrouble) {
      answer(request);
      return;
    }
    lab.note("i-cat0 begins an answer without end to %s", request.id());
    OutputStream out = request.socket.getOutputStream();
    String head =
        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    out.write(head.formatted(request.id()).getBytes(StandardCharsets.US_ASCII));
    byte[] chunks = "1\r\nx\r\n".repeat(1_000).getBytes(StandardCharsets.US_ASCII);
    while (true) {
      out.write(chunks);
    }
  }
}

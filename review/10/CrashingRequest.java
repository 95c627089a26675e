package lab2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each server that runs it, and comes again and again. After it has crashed three
 * servers, the instances are restarted in turn, twice.
 */
public final class CrashingRequest {

  private static final int SERVERS = 6;
  private static final long SERVER_DOWN_MILLIS = 3_000;
  private static final long CONTACT_MILLIS = 4_000;
  private static final int ROLLING_RESTARTS = 2;
  private static final long PLAY_MILLIS = 14_000;
  private static final int ALLOWED_RETRIES = 3;

  private final Lab lab;
  private final ConcurrentLinkedQueue<Long> crashMillis = new ConcurrentLinkedQueue<>();
  private final AtomicInteger sent = new AtomicInteger();

  private CrashingRequest(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] args) {
    Lab.run(args[0], lab -> new CrashingRequest(lab).play());
  }

  private boolean play() throws Exception {
    lab.configure(1, Lab.route("/orders/", "unsafe", "desk", 3_000, 1), Lab.service("desk"));
    String host = lab.newHost();
    for (int i = 0; i < SERVERS; i++) {
      Backend backend = new Backend("i-desk" + i, host, this::serve);
      lab.listServer(backend, "desk", "kochi-a", 8);
    }
    List<Lab.Instance> entries = new ArrayList<>();
    entries.add(lab.instance("front-kochi-a-1", "kochi-a"));
    entries.add(lab.instance("front-kochi-b-1", "kochi-b"));
    for (Lab.Instance entry : entries) {
      entry.awaitReady();
    }
    Thread.sleep(CONTACT_MILLIS);
    AtomicBoolean ended = new AtomicBoolean();
    AtomicInteger lost = new AtomicInteger();
    Thread others = Thread.ofPlatform().start(() -> sendOthers(entries, ended, lost));
    repeat(entries, PLAY_MILLIS);
    if (crashMillis.size() < 3) {
      throw new Lab.CannotRun("the request has crashed " + crashMillis.size() + " servers");
    }
    long thirdMillis = List.copyOf(crashMillis).get(2);
    lab.log("the request has crashed its third server at " + thirdMillis + " ms; crashes so far="
        + crashMillis.size());
    lab.sleepUntil(thirdMillis + CONTACT_MILLIS);
    int before = crashMillis.size();
    for (int i = 0; i < ROLLING_RESTARTS; i++) {
      if (lab.trouble) {
        for (Lab.Instance entry : entries) {
          entry.terminate();
          entry.awaitEnd(8_000);
          entry.start();
          entry.awaitReady();
        }
      }
      // All instances are in touch again.
      Thread.sleep(CONTACT_MILLIS + 500);
      repeat(entries, PLAY_MILLIS);
      lab.log("retries that reached servers since=" + (crashMillis.size() - before));
    }
    ended.set(true);
    others.join();
    int reached = crashMillis.size() - before;
    lab.log("retries that reached and crashed servers=" + reached + " allowed=" + ALLOWED_RETRIES
        + " requests of others lost at these servers=" + lost.get());
    return reached <= ALLOWED_RETRIES;
  }

  private void serve(Backend backend, java.net.Socket socket, java.io.InputStream in)
      throws Exception {
    while (true) {
      Lab.Message request = Lab.readMessage(in, true);
      if (!request.complete()) {
        return;
      }
      String id = request.header("Request-Id");
      if (request.start().contains("/orders/poison")) {
        lab.log("server " + backend.id + " runs request=" + id + " and crashes");
        crashMillis.add(lab.millis());
        backend.crash();
        Thread.ofVirtual().start(() -> restart(backend));
        return;
      }
      Thread.sleep(50);
      Lab.send(socket, Backend.head(200, id, "Content-Length: 2\r\n") + "ok");
    }
  }

  private void restart(Backend backend) {
    try {
      Thread.sleep(SERVER_DOWN_MILLIS);
      backend.restart();
      lab.listServer(backend, "desk", "kochi-a", 8);
    } catch (Exception e) {
      lab.log("server " + backend.id + " cannot start again: " + e);
    }
  }

  /** Sends the request twice a second, at the instances in turn. */
  private void repeat(List<Lab.Instance> entries, long millis) throws InterruptedException {
    long endMillis = lab.millis() + millis;
    while (lab.millis() < endMillis) {
      int number = sent.incrementAndGet();
      Lab.Instance entry = entries.get(number % entries.size());
      int status = lab.call(entry.host, entry.frontPort, "POST", "/orders/poison",
          "poison-" + number, 3_000, "Content-Length: 0\r\n").status();
      lab.log("client request=poison-" + number + " at " + entry.name + " got status=" + status);
      Thread.sleep(500);
    }
  }

  private void sendOthers(List<Lab.Instance> entries, AtomicBoolean ended, AtomicInteger lost) {
    for (int i = 0; !ended.get(); i++) {
      Lab.Instance entry = entries.get(i % entries.size());
      int status = lab.call(entry.host, entry.frontPort, "POST", "/orders/" + i, "other-" + i,
          3_000, "Content-Length: 0\r\n").status();
      if (status == 502) {
        lost.incrementAndGet();
        lab.log("client request=other-" + i + " at " + entry.name + " got status=502");
      }
    }
  }
}

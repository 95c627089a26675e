package lab2;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A faulty server breaks off an answer within its head, and sends the answer of the request before
 * once more behind it. The client must not get the body of the other client's answer.
 */
public final class ForeignAnswer {

  private static final int REQUESTS = 480;

  /** The faulty server, one of two, spoils one answer in so many: 0.02 of them. */
  private static final int SPOILED_ONE_IN = 50;

  private ForeignAnswer() {}

  public static void main(String[] args) {
    Lab.run(args[0], ForeignAnswer::play);
  }

  private static String body(String id) {
    return "body of " + id;
  }

  private static boolean play(Lab lab) throws Exception {
    lab.configure(1, Lab.route("/orders/", "unsafe", "desk", 3_000, 1), Lab.service("desk"));
    AtomicInteger answered = new AtomicInteger();
    AtomicInteger spoiled = new AtomicInteger();
    for (String name : new String[] {"i-faulty", "i-sound"}) {
      Backend backend = new Backend(name, lab.newHost(), (server, socket, in) -> {
        String before = "";
        while (true) {
          Lab.Message request = Lab.readMessage(in, true);
          if (!request.complete()) {
            return;
          }
          String id = request.header("Request-Id");
          String answer = answer(id);
          boolean faulty = lab.trouble && server.id.equals("i-faulty");
          if (faulty && !before.isEmpty() && answered.get() / SPOILED_ONE_IN > spoiled.get()) {
            int brokenAt = answer.indexOf("c9f2a4d1");
            answer = answer.substring(0, brokenAt) + answer(before);
            spoiled.incrementAndGet();
            lab.log("server " + server.id + " breaks off the answer of request=" + id
                + " within its head and sends the answer of request=" + before + " again");
          }
          answered.addAndGet(faulty ? 1 : 0);
          Lab.send(socket, answer);
          before = id;
        }
      });
      lab.listServer(backend, "desk", "kochi-a", 8);
    }
    Lab.Instance entry = lab.instance("front-kochi-a-1", "kochi-a");
    entry.awaitReady();
    int foreign = 0;
    int served = 0;
    for (int i = 0; i < REQUESTS; i++) {
      String id = "order-" + i;
      Lab.Message answer = lab.call(entry.host, entry.frontPort, "POST", "/orders/" + id, id,
          3_000, "Content-Length: 0\r\n");
      String text = new String(answer.body(), StandardCharsets.ISO_8859_1);
      boolean success = answer.complete() && answer.status() == 200;
      served += success ? 1 : 0;
      if (!success || !text.equals(body(id))) {
        lab.log("client request=" + id + " got status=" + answer.status() + " body=\"" + text
            + "\" headers=" + answer.headers());
        foreign += success ? 1 : 0;
      }
      Thread.sleep(25);
    }
    lab.log("requests=" + REQUESTS + " served=" + served + " answers of the faulty server="
        + answered.get() + " spoiled=" + spoiled.get() + " successes with a foreign body="
        + foreign);
    if (lab.trouble && spoiled.get() == 0) {
      throw new Lab.CannotRun("no connection was used twice");
    }
    return foreign == 0;
  }

  private static String answer(String id) {
    return Backend.head(200, id, "Content-Length: " + body(id).length() + "\r\n") + body(id);
  }
}

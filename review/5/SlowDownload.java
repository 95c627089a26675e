import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** A download whose client pauses, at an instance that is stopped as planned. */
final class SlowDownload {

  private static final int SMALL_WINDOW_BYTES = 8 * 1024;
  private static final int STEP_BYTES = 2_048;
  private static final long DEADLINE_MILLIS = 20_000;

  /** Pause of the client, which ends 4 s after the stop signal and so within `grace`. */
  private static final long PAUSE_MILLIS = 4_500;

  private static final double GRACE_SECONDS = 6;

  private final Lab lab;

  private SlowDownload(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(arguments);
    try {
      new SlowDownload(lab).play();
    } catch (Throwable e) {
      lab.fail(e);
    }
  }

  private void play() throws Exception {
    Store store = new Store();
    store.put(
        "op",
        "config",
        Deployment.config("0000000c", Deployment.route("pull", "unsafe", "20s", "archive"), "archive"));
    Backend server = new Backend("i-archive0", lab.ip(100), this::run);
    store.put("servers", server.id, server.row("archive", "kochi-a", "ready", 1_000));
    Lab.Instance stopped = lab.instance("kochi-a", store.open(lab.ip(2)));
    Lab.Instance other = lab.instance("kochi-b", store.open(lab.ip(3)));
    lab.start(stopped);
    lab.start(other);
    lab.awaitReady(stopped);
    lab.awaitReady(other);
    int longest = Capacity.longestUnread(lab, stopped, (bytes, id) -> pull(stopped, bytes, id));
    // The instance is in touch: `contact` has passed since its start.
    Thread.sleep(2_000);

    int bytes = longest + 32 * 1024;
    Client client = pull(stopped, bytes, "pull-" + bytes);
    Thread.sleep(300);
    while (Capacity.inFlight(stopped) > 0) {
      client.close();
      bytes -= STEP_BYTES;
      client = pull(stopped, bytes, "pull-" + bytes);
      Thread.sleep(300);
    }
    double sentSeconds = Lab.seconds();
    lab.note("the client of a download of %d bytes pauses", bytes);
    Thread.sleep(200);
    double stoppedSeconds = Lab.seconds();
    if (lab.trouble) {
      lab.signal(stopped, "TERM");
    }
    Thread.sleep(PAUSE_MILLIS - 500);
    lab.note("the client goes on, instance alive=%s", stopped.process.isAlive());
    Client.Response response = client.read(5_000);
    double seconds = Lab.seconds() - stoppedSeconds;
    lab.note(
        "download: status=%d complete=%s %.3f s after the stop signal %s",
        response.status, response.complete, seconds, response.problem);
    if (lab.trouble) {
      stopped.process.waitFor(8, TimeUnit.SECONDS);
    }
    lab.finish(
        !response.complete && seconds < GRACE_SECONDS,
        "LOST: download of %d bytes, complete=%s, %.3f s after it was sent",
        bytes,
        response.complete,
        Lab.seconds() - sentSeconds);
  }

  private static Client pull(Lab.Instance instance, int bytes, String id) throws IOException {
    Client client = new Client(instance.front(), SMALL_WINDOW_BYTES);
    client.send(
        Client.head("GET", "/pull/" + bytes, id, DEADLINE_MILLIS, Deployment.KEY, ""));
    return client;
  }

  private void run(Backend.Request request) throws IOException {
    int bytes = Integer.parseInt(request.path.substring(6));
    request.respond(200, "", new byte[bytes]);
    lab.note("server has written the answer to %s", request.id());
  }
}

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;

/** Finds out how much of a response the system's buffers hold for a client that does not read. */
final class Capacity {

  private static final int RESOLUTION_BYTES = 4_096;
  private static final long SETTLE_MILLIS = 300;

  private Capacity() {}

  /** Sends a download of a length and returns without reading its response. */
  interface Download {
    Client start(int bytes, String id) throws IOException;
  }

  /**
   * Returns the length of the longest response that the instance counts as finished although its
   * client reads nothing.
   */
  static int longestUnread(Lab lab, Lab.Instance instance, Download download) throws Exception {
    int finished = 300_000;
    int unfinished = 32_000_000;
    for (int i = 0; unfinished - finished > RESOLUTION_BYTES; i++) {
      int bytes = (finished + unfinished) / 2;
      try (Client client = download.start(bytes, "probe-" + i)) {
        Thread.sleep(SETTLE_MILLIS);
        if (inFlight(instance) == 0) {
          finished = bytes;
        } else {
          unfinished = bytes;
        }
      }
      Thread.sleep(50);
    }
    lab.note("a client that does not read leaves at most %d bytes unread", finished);
    return finished;
  }

  /** Returns the instance's own count of requests without a complete response. */
  static double inFlight(Lab.Instance instance) throws IOException {
    try (Client client = new Client(new InetSocketAddress(instance.ip, 9464), 0)) {
      client.send("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
      String text = new String(client.read(2_000).body, java.nio.charset.StandardCharsets.UTF_8);
      return Arrays.stream(text.split("\n"))
          .filter(line -> line.startsWith("bambooarch_requests_in_flight "))
          .mapToDouble(line -> Double.parseDouble(line.split(" ")[1]))
          .findFirst()
          .orElseThrow(() -> new IOException("no count of requests in flight"));
    }
  }
}

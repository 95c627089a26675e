import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A client's connection: sends raw requests and reads complete responses. */
final class Client implements AutoCloseable {

  /** A response; status 0 if the connection ended before the first byte, -1 if within. */
  static final class Response {
    int status;
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];
    boolean complete;
    String problem = "";

    String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  final Socket socket = new Socket();
  private final InputStream in;

  /** Opens a connection; a receive buffer of 0 bytes means the system's own size. */
  Client(InetSocketAddress address, int receiveBufferBytes) throws IOException {
    if (receiveBufferBytes > 0) {
      socket.setReceiveBufferSize(receiveBufferBytes);
    }
    socket.setTcpNoDelay(true);
    socket.connect(address, 1_000);
    in = new BufferedInputStream(socket.getInputStream(), 4_096);
  }

  /** Returns a request's head. */
  static String head(
      String method, String path, String id, long deadlineMillis, String key, String more) {
    return "%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n"
            .formatted(method, path, id, deadlineMillis)
        + (key.isEmpty() ? "" : "Credential: " + key + "\r\n")
        + more
        + "\r\n";
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads one response; waits for each byte for the given time at most. */
  Response read(int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    Response response = new Response();
    try {
      String line = readLine();
      if (line == null) {
        response.problem = "closed";
        return response;
      }
      response.status = Integer.parseInt(line.split(" ")[1]);
      while (!(line = require(readLine())).isEmpty()) {
        int colon = line.indexOf(':');
        response.headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
      }
      response.body = readBody(response);
      response.complete = true;
    } catch (IOException e) {
      response.problem = e.toString();
    }
    return response;
  }

  private byte[] readBody(Response response) throws IOException {
    if (response.header("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int length = Integer.parseInt(require(readLine()).strip(), 16);
        body.write(readExactly(length));
        require(readLine());
        if (length == 0) {
          return body.toByteArray();
        }
      }
    }
    String length = response.header("Content-Length");
    return length.isEmpty() ? new byte[0] : readExactly(Integer.parseInt(length));
  }

  private byte[] readExactly(int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new IOException("cut after " + bytes.length + " of " + length + " bytes");
    }
    return bytes;
  }

  /** Reads up to that many bytes as they come; returns the number, or -1 at the end. */
  int readSome(byte[] buffer) throws IOException {
    return in.read(buffer);
  }

  private static String require(String line) throws IOException {
    if (line == null) {
      throw new IOException("cut within a response");
    }
    return line;
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    while (true) {
      int next = in.read();
      if (next < 0) {
        if (line.isEmpty()) {
          return null;
        }
        throw new IOException("cut within a line");
      }
      if (next == '\n') {
        int end = line.length();
        return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line + "";
      }
      line.append((char) next);
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

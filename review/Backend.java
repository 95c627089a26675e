import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** A server: runs each request by a handler, on a kept connection, one at a time. */
final class Backend implements AutoCloseable {

  /** A request as the server received it, whole. */
  static final class Request {
    String method;
    String path;
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];
    Socket socket;

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String id() {
      return header("Request-Id");
    }

    /** Writes a complete response with seal and id. */
    void respond(int status, String moreHeaders, byte[] body) throws IOException {
      String head =
          "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nServer-Seal: s\r\n%sContent-Length: %d\r\n\r\n"
              .formatted(status, id(), moreHeaders, body.length);
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      out.write(body);
      socket.getOutputStream().write(out.toByteArray());
      socket.getOutputStream().flush();
    }
  }

  /** Runs one request and writes the response. */
  interface Handler {
    void run(Request request) throws IOException, InterruptedException;
  }

  final String id;
  private final ServerSocket listener = new ServerSocket();
  private final Handler handler;
  private volatile boolean closed;
  private volatile Consumer<Request> heads = request -> {};
  private final java.util.Set<Socket> sockets = java.util.concurrent.ConcurrentHashMap.newKeySet();

  Backend(String id, String ip, Handler handler) throws IOException {
    this.id = id;
    this.handler = handler;
    listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 200);
    Thread.ofVirtual().start(this::accept);
  }

  /** Sets what is called with each request's head, before its body is read. */
  void onHead(Consumer<Request> listener) {
    heads = listener;
  }

  /** Returns the value of the server's row in the store. */
  String row(String service, String zone, String state, long born) {
    return ("{\"addr\":\"%s:%d\",\"born\":%d,\"info\":{\"service\":\"%s\",\"zone\":\"%s\","
            + "\"version\":\"1\",\"slots\":64},\"status\":{\"state\":\"%s\",\"cold-left\":\"0ms\","
            + "\"seq\":1}}")
        .formatted(
            listener.getInetAddress().getHostAddress(),
            listener.getLocalPort(),
            born,
            service,
            zone,
            state);
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Request request = read(in);
        if (request == null) {
          return;
        }
        request.socket = socket;
        String expected = request.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
          request.respond(421, "Not-Executed: 1\r\n", new byte[0]);
          continue;
        }
        handler.run(request);
      }
    } catch (IOException | InterruptedException e) {
      // The connection has ended.
      return;
    } finally {
      sockets.remove(socket);
    }
  }

  private Request read(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    Request request = new Request();
    String[] parts = line.split(" ");
    request.method = parts[0];
    request.path = parts[1];
    while (!(line = require(readLine(in))).isEmpty()) {
      int colon = line.indexOf(':');
      request.headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
    }
    heads.accept(request);
    if (request.header("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      int length;
      do {
        length = Integer.parseInt(require(readLine(in)), 16);
        body.write(in.readNBytes(length));
        readLine(in);
      } while (length > 0);
      request.body = body.toByteArray();
    } else if (!request.header("Content-Length").isEmpty()) {
      int length = Integer.parseInt(request.header("Content-Length"));
      request.body = in.readNBytes(length);
      if (request.body.length < length) {
        throw new IOException("cut within a body");
      }
    }
    return request;
  }

  private static String require(String line) throws IOException {
    if (line == null) {
      throw new IOException("cut within a body");
    }
    return line;
  }

  private static String readLine(InputStream in) throws IOException {
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
        return line.toString().stripTrailing();
      }
      line.append((char) next);
    }
  }

  /** Ends the server as a process that exits: closes its port and all connections. */
  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}

package org.bambooarch.standin;

import static org.bambooarch.store.http.PlatformJson.MAPPER;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import org.bambooarch.core.time.Clock;
import org.bambooarch.store.CommitResult;
import org.bambooarch.store.InstanceRecord;
import org.bambooarch.store.Row;
import org.bambooarch.store.Write;
import org.bambooarch.store.http.PlatformJson;

/**
 * A stand-in of the platform: a table service, an object store and an instance list over HTTP. The
 * list shows each announcement only after a configurable lag.
 *
 * <p>It keeps all data in memory and is for tests, trials and the quickstart only.
 */
public final class StandinPlatform implements AutoCloseable {

  /**
   * Path to which {@link PlatformFaults} are sent as JSON; it works even while the stand-in is
   * down.
   */
  public static final String FAULTS_PATH = "/standin/faults";

  private static final int MAX_OBJECT_BYTES = 1 << 30;

  /** An announced state of an instance, and when the list starts to show it. */
  private record Announcement(InstanceRecord instance, long listedFromNanos) {}

  private final InMemoryTableService tables = new InMemoryTableService();
  private final NavigableMap<String, byte[]> objects = new ConcurrentSkipListMap<>();
  private final List<Announcement> announcements = new ArrayList<>();
  private final Clock clock;
  private final long listLagNanos;
  private final Server server;
  private volatile PlatformFaults faults = PlatformFaults.none();

  private StandinPlatform(String host, int port, long listLagMillis, Clock clock) {
    this.clock = clock;
    this.listLagNanos = Duration.ofMillis(listLagMillis).toNanos();
    this.server =
        Server.builder()
            .http(new InetSocketAddress(host, port))
            .maxRequestLength(MAX_OBJECT_BYTES)
            .service("prefix:/", this::serve)
            .build();
  }

  /**
   * Starts a stand-in.
   *
   * @param host IP address to listen on
   * @param port port to listen on; 0 takes any free port
   * @param listLagMillis time until the instance list shows an announcement, in milliseconds
   * @param clock clock that measures the lag
   */
  public static StandinPlatform startOn(String host, int port, long listLagMillis, Clock clock) {
    StandinPlatform platform = new StandinPlatform(host, port, listLagMillis, clock);
    platform.server.start().join();
    return platform;
  }

  /** Returns the port on which the stand-in listens. */
  public int port() {
    return server.activeLocalPort();
  }

  /** Returns the table service, for checks in tests. */
  public InMemoryTableService tables() {
    return tables;
  }

  /** Replaces the injected faults; applies to requests that arrive from now on. */
  public void injectFaults(PlatformFaults newFaults) {
    faults = newFaults;
  }

  /** Stops listening and returns at once; running requests end in the background. */
  @Override
  public void close() {
    server.stop();
  }

  private HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    if (context.path().equals(FAULTS_PATH)) {
      return HttpResponse.of(request.aggregate().thenApply(this::handleFaults));
    }
    PlatformFaults activeFaults = faults;
    if (activeFaults.down()) {
      return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
    }
    HttpResponse response =
        HttpResponse.of(
            request.aggregate().thenApply(whole -> respond(context, whole, activeFaults)));
    if (activeFaults.delayMillis() == 0) {
      return response;
    }
    return HttpResponse.delayed(response, Duration.ofMillis(activeFaults.delayMillis()));
  }

  private HttpResponse handleFaults(AggregatedHttpRequest request) {
    try {
      faults = MAPPER.readValue(request.content().array(), PlatformFaults.class);
      return HttpResponse.of(HttpStatus.NO_CONTENT);
    } catch (IOException e) {
      return HttpResponse.of(HttpStatus.BAD_REQUEST, MediaType.PLAIN_TEXT_UTF_8, e.getMessage());
    }
  }

  private HttpResponse respond(
      ServiceRequestContext context, AggregatedHttpRequest request, PlatformFaults activeFaults) {
    try {
      HttpResponse response = route(context, request);
      boolean isWrite = !request.method().name().equals("GET");
      if (isWrite && activeFaults.loseAnswersOfWrites()) {
        return HttpResponse.ofFailure(new IOException("injected fault: answer to a write lost"));
      }
      return response;
    } catch (IOException e) {
      return HttpResponse.of(HttpStatus.BAD_REQUEST, MediaType.PLAIN_TEXT_UTF_8, e.getMessage());
    }
  }

  private HttpResponse route(ServiceRequestContext context, AggregatedHttpRequest request)
      throws IOException {
    return switch (context.path()) {
      case PlatformJson.ROW_PATH -> readRow(context);
      case PlatformJson.SCAN_PATH -> scanRows(context);
      case PlatformJson.COMMIT_PATH -> commit(request);
      case PlatformJson.OBJECT_PATH -> handleObject(context, request);
      case PlatformJson.OBJECTS_PATH -> listObjects(context);
      case PlatformJson.INSTANCES_PATH -> handleInstances(request);
      default -> HttpResponse.of(HttpStatus.BAD_REQUEST);
    };
  }

  private HttpResponse readRow(ServiceRequestContext context) throws JsonProcessingException {
    Optional<Row> row = tables.read(context.queryParam("table"), context.queryParam("key"));
    return row.isPresent()
        ? jsonResponse(HttpStatus.OK, row.get())
        : HttpResponse.of(HttpStatus.NOT_FOUND);
  }

  private HttpResponse scanRows(ServiceRequestContext context) throws JsonProcessingException {
    List<Row> rows =
        tables.scan(
            context.queryParam("table"),
            context.queryParam("prefix"),
            context.queryParam("after"),
            Integer.parseInt(context.queryParam("limit")));
    return jsonResponse(HttpStatus.OK, new PlatformJson.RowsDocument(rows));
  }

  private HttpResponse commit(AggregatedHttpRequest request) throws IOException {
    PlatformJson.CommitDocument document =
        MAPPER.readValue(request.content().array(), PlatformJson.CommitDocument.class);
    List<Write> writes =
        document.writes().stream().map(PlatformJson.WriteDocument::toWrite).toList();
    return switch (tables.commit(writes)) {
      case CommitResult.Committed committed ->
          jsonResponse(HttpStatus.OK, new PlatformJson.RowsDocument(committed.rows()));
      case CommitResult.Conflict conflict ->
          jsonResponse(HttpStatus.CONFLICT, new PlatformJson.RowsDocument(conflict.current()));
    };
  }

  private HttpResponse handleObject(ServiceRequestContext context, AggregatedHttpRequest request) {
    String name = context.queryParam("name");
    switch (request.method()) {
      case PUT -> objects.put(name, request.content().array());
      case DELETE -> objects.remove(name);
      default -> {
        byte[] content = objects.get(name);
        return content == null
            ? HttpResponse.of(HttpStatus.NOT_FOUND)
            : HttpResponse.of(HttpStatus.OK, MediaType.OCTET_STREAM, content);
      }
    }
    return HttpResponse.of(HttpStatus.NO_CONTENT);
  }

  private HttpResponse listObjects(ServiceRequestContext context) throws JsonProcessingException {
    String prefix = context.queryParam("prefix");
    List<String> names =
        objects.tailMap(prefix).keySet().stream()
            .takeWhile(name -> name.startsWith(prefix))
            .toList();
    return jsonResponse(HttpStatus.OK, new PlatformJson.NamesDocument(names));
  }

  private HttpResponse handleInstances(AggregatedHttpRequest request) throws IOException {
    if (request.content().isEmpty()) {
      return jsonResponse(HttpStatus.OK, new PlatformJson.InstancesDocument(listedInstances()));
    }
    InstanceRecord instance = MAPPER.readValue(request.content().array(), InstanceRecord.class);
    synchronized (announcements) {
      announcements.add(new Announcement(instance, clock.monotonicNanos() + listLagNanos));
    }
    return HttpResponse.of(HttpStatus.NO_CONTENT);
  }

  private List<InstanceRecord> listedInstances() {
    Map<String, InstanceRecord> byName = new LinkedHashMap<>();
    synchronized (announcements) {
      for (Announcement announcement : announcements) {
        if (announcement.listedFromNanos() - clock.monotonicNanos() <= 0) {
          byName.put(announcement.instance().name(), announcement.instance());
        }
      }
    }
    return List.copyOf(byName.values());
  }

  private static HttpResponse jsonResponse(HttpStatus status, Object document)
      throws JsonProcessingException {
    return HttpResponse.of(status, MediaType.JSON, MAPPER.writeValueAsBytes(document));
  }
}

package org.bambooarch.store.http;

import static org.bambooarch.store.http.PlatformJson.MAPPER;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.QueryParams;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.bambooarch.http.StrictHttp1;
import org.bambooarch.store.CommitResult;
import org.bambooarch.store.InstanceList;
import org.bambooarch.store.InstanceRecord;
import org.bambooarch.store.NotAppliedException;
import org.bambooarch.store.ObjectStore;
import org.bambooarch.store.PlatformException;
import org.bambooarch.store.Row;
import org.bambooarch.store.TableService;
import org.bambooarch.store.UnknownOutcomeException;
import org.bambooarch.store.Write;
import org.bambooarch.store.http.internal.PlatformCalls;
import org.bambooarch.store.http.internal.PlatformCalls.Response;

/**
 * Client of the platform's services over HTTP.
 *
 * <p>Calls block; run them on a virtual thread. A failed read is repeated a limited number of
 * times. A write is never repeated here, because only the caller knows how to read back whether it
 * took effect.
 *
 * <pre>{@code
 * HttpPlatformClient platform =
 *     HttpPlatformClient.create("http://127.0.0.1:7000", Duration.ofSeconds(2));
 * Optional<Row> head = platform.read("config", "head");
 * }</pre>
 */
public final class HttpPlatformClient implements TableService, ObjectStore, InstanceList {

  private final PlatformCalls calls;

  private HttpPlatformClient(PlatformCalls calls) {
    this.calls = calls;
  }

  /**
   * Creates a client of the platform at a base URI.
   *
   * @param callTimeout limit for sending a request and for receiving its whole response; a call
   *     that hangs nevertheless is given up after twice this time
   */
  public static HttpPlatformClient create(String baseUri, Duration callTimeout) {
    WebClient client =
        WebClient.builder(baseUri)
            .factory(StrictHttp1.sharedFactory())
            .responseTimeout(callTimeout)
            .writeTimeout(callTimeout)
            .maxResponseLength(0)
            .build();
    return new HttpPlatformClient(new PlatformCalls(client, callTimeout));
  }

  @Override
  public Optional<Row> read(String table, String key) throws PlatformException {
    String query = QueryParams.of("table", table, "key", key).toQueryString();
    Response response = calls.read(PlatformJson.ROW_PATH + "?" + query);
    if (response.status().equals(HttpStatus.NOT_FOUND)) {
      return Optional.empty();
    }
    return Optional.of(parse(response, Row.class));
  }

  @Override
  public List<Row> scan(String table, String keyPrefix, String afterKey, int limit)
      throws PlatformException {
    QueryParams params =
        QueryParams.builder()
            .add("table", table)
            .add("prefix", keyPrefix)
            .add("after", afterKey)
            .add("limit", Integer.toString(limit))
            .build();
    Response response = calls.read(PlatformJson.SCAN_PATH + "?" + params.toQueryString());
    return parse(response, PlatformJson.RowsDocument.class).rows();
  }

  @Override
  public CommitResult commit(List<Write> writes) throws PlatformException {
    List<PlatformJson.WriteDocument> documents =
        writes.stream().map(PlatformJson.WriteDocument::from).toList();
    RequestHeaders headers =
        RequestHeaders.builder(HttpMethod.POST, PlatformJson.COMMIT_PATH)
            .contentType(MediaType.JSON)
            .build();
    Response response = calls.write(headers, json(new PlatformJson.CommitDocument(documents)));
    List<Row> rows = parse(response, PlatformJson.RowsDocument.class).rows();
    if (response.status().equals(HttpStatus.CONFLICT)) {
      return new CommitResult.Conflict(rows);
    }
    return new CommitResult.Committed(rows);
  }

  @Override
  public void put(String name, byte[] content) throws PlatformException {
    calls.write(RequestHeaders.of(HttpMethod.PUT, objectPath(name)), HttpData.wrap(content));
  }

  @Override
  public Optional<byte[]> get(String name) throws PlatformException {
    Response response = calls.read(objectPath(name));
    if (response.status().equals(HttpStatus.NOT_FOUND)) {
      return Optional.empty();
    }
    return Optional.of(response.body());
  }

  @Override
  public List<String> list(String namePrefix) throws PlatformException {
    String query = QueryParams.of("prefix", namePrefix).toQueryString();
    Response response = calls.read(PlatformJson.OBJECTS_PATH + "?" + query);
    return parse(response, PlatformJson.NamesDocument.class).names();
  }

  @Override
  public void delete(String name) throws PlatformException {
    calls.write(RequestHeaders.of(HttpMethod.DELETE, objectPath(name)), HttpData.empty());
  }

  @Override
  public List<InstanceRecord> listInstances() throws PlatformException {
    Response response = calls.read(PlatformJson.INSTANCES_PATH);
    return parse(response, PlatformJson.InstancesDocument.class).instances();
  }

  @Override
  public void announce(InstanceRecord self) throws PlatformException {
    RequestHeaders headers =
        RequestHeaders.builder(HttpMethod.POST, PlatformJson.INSTANCES_PATH)
            .contentType(MediaType.JSON)
            .build();
    calls.write(headers, json(self));
  }

  private static String objectPath(String name) {
    return PlatformJson.OBJECT_PATH + "?" + QueryParams.of("name", name).toQueryString();
  }

  private static HttpData json(Object document) throws NotAppliedException {
    try {
      return HttpData.wrap(MAPPER.writeValueAsString(document).getBytes(StandardCharsets.UTF_8));
    } catch (JsonProcessingException e) {
      throw new NotAppliedException(
          "cannot write a request to the platform as JSON; it was not sent", e);
    }
  }

  private static <T> T parse(Response response, Class<T> type) throws UnknownOutcomeException {
    try {
      return MAPPER.readValue(response.body(), type);
    } catch (IOException e) {
      throw new UnknownOutcomeException(
          "cannot parse a response of the platform as "
              + type.getSimpleName()
              + ": "
              + e.getMessage(),
          e);
    }
  }
}

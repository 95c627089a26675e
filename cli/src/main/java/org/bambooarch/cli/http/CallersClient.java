package org.bambooarch.cli.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.bambooarch.entry.lookup.LookupService;
import org.bambooarch.entry.lookup.LookupService.LookupInstance;
import org.bambooarch.entry.lookup.LookupService.LookupResponse;
import org.bambooarch.http.StrictHttp1;

/** A client of the callers' port: looks up instances and sends requests to them. */
public final class CallersClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private CallersClient() {}

  /**
   * A request as a caller sends it.
   *
   * @param method HTTP method
   * @param path path, with the query if there is one
   * @param key key of the customer; empty for none
   * @param idempotencyKey value of the Idempotency-Key header; empty for none
   * @param body body as text
   */
  public record ClientRequest(
      HttpMethod method, String path, String key, String idempotencyKey, String body) {}

  /**
   * Asks an instance which instances a client should use.
   *
   * @param clientAddress IP address of the client; empty for the address of this process
   * @return the instances, best first
   * @throws IOException if the look-up is not answered or its answer cannot be read
   */
  public static List<LookupInstance> lookup(String entryUri, String clientAddress)
      throws IOException {
    String query = clientAddress.isEmpty() ? "" : "?client=" + clientAddress;
    try {
      AggregatedHttpResponse response =
          webClient(entryUri).get(LookupService.PATH + query).aggregate().join();
      return MAPPER.readValue(response.content().array(), LookupResponse.class).instances();
    } catch (CompletionException e) {
      throw new IOException("look-up at " + entryUri + " failed: " + e.getCause(), e);
    }
  }

  /**
   * Sends a request to an instance and waits for the whole response.
   *
   * @throws IOException if the request fails, or if there is no complete response within 60 seconds
   */
  public static AggregatedHttpResponse send(WebClient client, ClientRequest request)
      throws IOException {
    RequestHeadersBuilder headers = RequestHeaders.builder(request.method(), request.path());
    if (!request.key().isEmpty()) {
      headers.add("authorization", "Bearer " + request.key());
    }
    if (!request.idempotencyKey().isEmpty()) {
      headers.add("idempotency-key", request.idempotencyKey());
    }
    HttpData body = HttpData.ofUtf8(request.body());
    try {
      return client.execute(headers.build(), body).aggregate().join();
    } catch (CompletionException e) {
      throw new IOException(
          request.method() + " " + request.path() + " failed: " + e.getCause(), e);
    }
  }

  /** Returns a client of an instance, which pools its connections. */
  public static WebClient webClient(String entryUri) {
    return WebClient.builder(entryUri)
        .factory(StrictHttp1.sharedFactory())
        .responseTimeout(TIMEOUT)
        .maxResponseLength(0)
        .build();
  }

  /** Returns the callers' URI of an instance from a look-up; IPv6 addresses get brackets. */
  public static String uriOf(LookupInstance instance) {
    String host = instance.host().contains(":") ? "[" + instance.host() + "]" : instance.host();
    return "http://" + host + ":" + instance.port();
  }
}

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

/** A client that uses the system as callers do: a look-up first, then requests. */
public final class CallersClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private CallersClient() {}

  /**
   * A request of a caller.
   *
   * @param method HTTP method
   * @param path path with query
   * @param key key of the customer; empty for none
   * @param idempotencyKey value of the Idempotency-Key header; empty for none
   * @param body body as text
   */
  public record Call(
      HttpMethod method, String path, String key, String idempotencyKey, String body) {}

  /** Asks an instance which instances to use for a client address, best first. */
  public static List<LookupInstance> lookup(String entryUri, String clientAddress)
      throws IOException {
    String query = clientAddress.isEmpty() ? "" : "?client=" + clientAddress;
    try {
      AggregatedHttpResponse response =
          client(entryUri).get(LookupService.PATH + query).aggregate().join();
      return MAPPER.readValue(response.content().array(), LookupResponse.class).instances();
    } catch (CompletionException e) {
      throw new IOException("look-up at " + entryUri + " failed: " + e.getCause(), e);
    }
  }

  /** Sends a request to an instance and waits for the whole answer. */
  public static AggregatedHttpResponse send(WebClient client, Call call) throws IOException {
    RequestHeadersBuilder headers = RequestHeaders.builder(call.method(), call.path());
    if (!call.key().isEmpty()) {
      headers.add("authorization", "Bearer " + call.key());
    }
    if (!call.idempotencyKey().isEmpty()) {
      headers.add("idempotency-key", call.idempotencyKey());
    }
    HttpData body = HttpData.ofUtf8(call.body());
    try {
      return client.execute(headers.build(), body).aggregate().join();
    } catch (CompletionException e) {
      throw new IOException(call.method() + " " + call.path() + " failed: " + e.getCause(), e);
    }
  }

  /** Returns a connection pool to an instance. */
  public static WebClient client(String entryUri) {
    return WebClient.builder(entryUri).responseTimeout(TIMEOUT).maxResponseLength(0).build();
  }

  /** Returns the URI of an instance from a look-up answer. */
  public static String uriOf(LookupInstance instance) {
    String host = instance.host().contains(":") ? "[" + instance.host() + "]" : instance.host();
    return "http://" + host + ":" + instance.port();
  }
}

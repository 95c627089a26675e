package org.bambooarch.cli.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;
import org.bambooarch.entry.operators.OperatorsServer;
import org.bambooarch.http.StrictHttp1;
import org.bambooarch.store.InstanceRecord;

/** A client of one instance's operators' port; it waits for a response for 3 seconds at most. */
public final class OperatorsClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final WebClient client;

  private OperatorsClient(WebClient client) {
    this.client = client;
  }

  /** Returns a client for an instance of the platform's list. */
  public static OperatorsClient of(InstanceRecord instance) {
    String host = instance.host().contains(":") ? "[" + instance.host() + "]" : instance.host();
    String uri = "http://" + host + ":" + instance.operatorsPort();
    return new OperatorsClient(
        WebClient.builder(uri)
            .factory(StrictHttp1.sharedFactory())
            .responseTimeout(TIMEOUT)
            .maxResponseLength(0)
            .build());
  }

  /** Returns the state dump as JSON, or empty if the instance does not answer. */
  public Optional<String> dump() {
    return get(OperatorsServer.DUMP_PATH).map(AggregatedHttpResponse::contentUtf8);
  }

  /** Returns whether the instance takes new requests, or empty if it does not answer. */
  public Optional<Boolean> isReady() {
    return get(OperatorsServer.READY_PATH).map(response -> response.status().isSuccess());
  }

  /** Returns the version in force, or empty if there is no answer or it is not JSON. */
  public OptionalLong versionInForce() {
    Optional<String> dump = dump();
    if (dump.isEmpty()) {
      return OptionalLong.empty();
    }
    try {
      return OptionalLong.of(
          MAPPER.readTree(dump.get()).path("configuration").path("version").asLong());
    } catch (JsonProcessingException e) {
      return OptionalLong.empty();
    }
  }

  private Optional<AggregatedHttpResponse> get(String path) {
    try {
      return Optional.of(client.get(path).aggregate().join());
    } catch (CompletionException e) {
      return Optional.empty();
    }
  }
}

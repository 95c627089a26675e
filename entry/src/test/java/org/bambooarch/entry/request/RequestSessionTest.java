package org.bambooarch.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.inventory.Service;
import org.bambooarch.core.key.KeyDigest;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.entry.ControlSettings;
import org.bambooarch.entry.EntryInstance;
import org.bambooarch.entry.EntrySettings;
import org.bambooarch.standin.PlatformFaults;
import org.bambooarch.standin.StandinPlatform;
import org.bambooarch.store.config.ConfigRepository;
import org.bambooarch.store.http.HttpPlatformClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Runs a session of requests against two entry instances and compares the responses with a golden
 * file.
 */
class RequestSessionTest {

  private static final String HOST = "127.0.0.1";
  private static final String KEY = "secret-of-the-caller";
  private static final String OTHER_KEY = "another-secret-of-it";

  private final List<String> session = new ArrayList<>();
  private final List<CrashingTarget> crashingTargets = new ArrayList<>();
  private StandinPlatform platform;
  private ScriptedTarget target;
  private ConfigRepository repository;
  private EntryInstance first;
  private EntryInstance second;

  @BeforeEach
  void startFleet() throws Exception {
    platform = StandinPlatform.startOn(HOST, 0, 0, SystemClock.systemClock());
    target = new ScriptedTarget(HOST);
    for (int i = 0; i < 3; i++) {
      crashingTargets.add(new CrashingTarget(HOST));
    }
    String uri = "http://" + HOST + ":" + platform.port();
    repository = new ConfigRepository(HttpPlatformClient.create(uri, Duration.ofSeconds(10)));
    repository.propose(0, "c1", "test", new ConfigChange.ReplaceInventory(inventory()));
    repository.propose(
        1, "c2", "test", new ConfigChange.IssueKey(KeyDigest.of(KEY), "balaramapuram"));
    repository.propose(
        2, "c3", "test", new ConfigChange.IssueKey(KeyDigest.of(OTHER_KEY), "balaramapuram"));
    first = EntryInstance.start(settings("entry-1", uri));
    second = EntryInstance.start(settings("entry-2", uri));
  }

  @AfterEach
  void stopFleet() throws IOException {
    first.close();
    second.close();
    target.close();
    platform.close();
    for (CrashingTarget crashing : crashingTargets) {
      crashing.close();
    }
  }

  @Test
  void should_match_the_golden_file_when_a_session_has_resends_crashes_and_a_store_outage()
      throws Exception {
    step("an order gets a response", postOrder(first, "/orders/a", "k-1", "two metres"));
    step(
        "its response is lost; the order is resent to the other instance",
        postOrderUntilSettled("/orders/a", "k-1", "two metres"));
    step(
        "the same idempotency key with another body",
        postOrderUntilSettled("/orders/a", "k-1", "nine metres"));
    step("a response too long for the table row", postOrder(first, "/orders/long", "k-2", ""));
    step("the long response is replayed", postOrderUntilSettled("/orders/long", "k-2", ""));
    step(
        "the target refuses the order for lack of capacity",
        postOrder(first, "/orders/shed", "k-3", ""));
    step(
        "the target returns the response to another request",
        postOrderUntilServerTakesRequests("/orders/foreign", "k-4"));
    step(
        "resent after the response to another request",
        postOrderUntilSettled("/orders/foreign", "k-4", ""));
    step("a request that crashes its targets", getCrashing(first));
    step("the crashing request again", getCrashing(first));
    session.add(
        "targets crashed: " + crashingTargets.stream().filter(CrashingTarget::hasCrashed).count());
    session.add("the key is withdrawn during a stream: " + streamUntilKeyWithdrawn());
    platform.injectFaults(new PlatformFaults(true, 0, false));
    step("a new order in a store outage", postOrder(first, "/orders/a", "k-5", "outage"));
    platform.injectFaults(PlatformFaults.none());
    session.add("orders run: " + target.runs.get());
    assertThat(String.join("\n", session) + "\n").isEqualTo(golden("request-session.txt"));
    assertThat(target.receivedHeaders).noneMatch(header -> header.contains(KEY));
  }

  private void step(String name, AggregatedHttpResponse response) {
    String outcome = response.headers().get("bambooarch-outcome", "answered");
    boolean refused = response.headers().contains("bambooarch-outcome");
    String body = response.contentUtf8();
    String shown = refused ? body.replaceAll(".*problem:([a-z-]+).*\\s*", "$1") : abbreviate(body);
    session.add(name + ": " + response.status().code() + " " + outcome + " " + shown);
  }

  private static String abbreviate(String body) {
    return body.length() > 40 ? body.length() + " bytes" : body;
  }

  private static AggregatedHttpResponse postOrder(
      EntryInstance entry, String path, String key, String body) {
    RequestHeaders headers =
        RequestHeaders.builder(HttpMethod.POST, path)
            .add("X-API-Key", KEY)
            .add("Idempotency-Key", key)
            .add("X-Note", "my key is " + KEY)
            .build();
    return client(entry).execute(headers, HttpData.ofUtf8(body)).aggregate().join();
  }

  /**
   * Sends an order to the second instance until its outcome is settled, as a caller does: the
   * resent order may arrive before the outcome of the first one is stored, and the second instance
   * has no share of the customer's rate until its peer transfers one.
   */
  private AggregatedHttpResponse postOrderUntilSettled(String path, String key, String body) {
    while (true) {
      AggregatedHttpResponse response = postOrder(second, path, key, body);
      String text = response.contentUtf8();
      if (!text.contains("still-running") && !text.contains("over-rate")) {
        return response;
      }
    }
  }

  /**
   * Sends an order until it is not refused for lack of a server: one that has refused a request for
   * lack of capacity gets none for 4 ms, and the session has only one.
   */
  private AggregatedHttpResponse postOrderUntilServerTakesRequests(String path, String key) {
    while (true) {
      AggregatedHttpResponse response = postOrder(first, path, key, "");
      if (!response.contentUtf8().contains("no-target")) {
        return response;
      }
    }
  }

  private static AggregatedHttpResponse getCrashing(EntryInstance entry) {
    RequestHeaders headers =
        RequestHeaders.builder(HttpMethod.GET, "/crash/1").add("X-API-Key", KEY).build();
    return client(entry).execute(headers).aggregate().join();
  }

  private String streamUntilKeyWithdrawn() throws Exception {
    RequestHeaders headers =
        RequestHeaders.builder(HttpMethod.GET, "/books/stream").add("X-API-Key", OTHER_KEY).build();
    var response = client(first).execute(headers).aggregate();
    ConfigChange withdrawal = new ConfigChange.WithdrawKey(KeyDigest.of(OTHER_KEY));
    assertThat(repository.propose(3, "c4", "test", withdrawal))
        .isInstanceOf(ConfigRepository.ProposeResult.Accepted.class);
    try {
      response.join();
      return "complete response";
    } catch (CompletionException e) {
      return "aborted";
    }
  }

  private static WebClient client(EntryInstance entry) {
    return WebClient.builder("http://" + HOST + ":" + entry.callersPort())
        .responseTimeoutMillis(0)
        .build();
  }

  private static String golden(String name) throws IOException {
    try (InputStream in = RequestSessionTest.class.getResourceAsStream("/golden/" + name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static EntrySettings settings(String name, String uri) {
    ControlSettings control =
        new ControlSettings(List.of("the secret of this test fleet"), "kochi", List.of());
    return new EntrySettings(name, "kochi-a", HOST, 0, 0, 0, uri, 1_000, control);
  }

  private Inventory inventory() {
    List<Server> servers = new ArrayList<>();
    servers.add(new Server("desk-1", "desk", "kochi-a", HOST, target.port(), 4, 100));
    for (int i = 0; i < crashingTargets.size(); i++) {
      servers.add(
          new Server(
              "fragile-" + i, "fragile", "kochi-a", HOST, crashingTargets.get(i).port(), 4, 100));
    }
    return new Inventory(
        List.of(new Region("kochi")),
        List.of(new DataCentre("kochi-a", "kochi")),
        List.of(),
        List.of(
            new Service(
                "desk",
                List.of(route("orders", "POST", "/orders", false), browse("books", "/books"))),
            new Service("fragile", List.of(browse("crash", "/crash")))),
        servers,
        List.of(new Customer("balaramapuram", 100, 100)),
        List.of(),
        List.of());
  }

  private static Route browse(String name, String prefix) {
    return route(name, "GET", prefix, true);
  }

  private static Route route(String name, String method, String prefix, boolean idempotent) {
    return new Route(name, method, prefix, idempotent, PriorityClass.COUNTER, 1_000, 20_000, false);
  }
}

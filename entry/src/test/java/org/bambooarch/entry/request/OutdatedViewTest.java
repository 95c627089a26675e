package org.bambooarch.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.PriorityClass;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Service;
import org.bambooarch.core.key.KeyCheck;
import org.bambooarch.core.key.KeyDigest;
import org.bambooarch.core.time.ManualClock;
import org.bambooarch.entry.ControlSettings;
import org.bambooarch.entry.EntrySettings;
import org.bambooarch.entry.control.ControlLoop;
import org.bambooarch.entry.control.FleetView;
import org.bambooarch.entry.request.target.TargetChooserSelection;
import org.bambooarch.standin.StandinPlatform;
import org.bambooarch.store.http.HttpPlatformClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that the published view does not permit, by what is known of the age of the view. */
@Timeout(60)
class OutdatedViewTest {

  private static final String HOST = "127.0.0.1";
  private static final String KEY = "key-of-kerala";
  private static final String UNKNOWN_KEY = "key-of-goa";

  /** Longer than changes may take until they are in force, and shorter than keys stay accepted. */
  private static final long OUTDATED_MILLIS = 4_000;

  private static final long KEYS_FRESH_NANOS = 10_000_000_000L;

  private final ManualClock clock = ManualClock.startingAtZero();
  private final KeyCheck keyCheck = KeyCheck.acceptingNothing(clock);
  private final ConfigState config =
      ConfigState.initial()
          .apply(new ConfigChange.ReplaceInventory(inventory()))
          .apply(new ConfigChange.IssueKey(KeyDigest.of(KEY), "kerala"));
  private StandinPlatform platform;
  private ControlLoop control;
  private RequestServices services;
  private ForwardService service;
  private FleetView view;

  @BeforeEach
  void createService() {
    platform = StandinPlatform.startOn(HOST, 0, 0, clock);
    String uri = "http://" + HOST + ":" + platform.port();
    HttpPlatformClient client = HttpPlatformClient.create(uri, Duration.ofSeconds(10));
    EntrySettings settings =
        new EntrySettings(
            "entry-1",
            "kochi-a",
            HOST,
            0,
            0,
            0,
            uri,
            10_000,
            new ControlSettings(List.of("the secret of this test fleet"), "kochi", List.of()));
    control = ControlLoop.create(settings, client, keyCheck, clock);
    services =
        new RequestServices(
            "entry-1",
            client,
            keyCheck,
            new TargetChooserSelection(control.routing()::chooser, ThreadLocalRandom::current),
            new CustomerAdmission(control.budgets(), clock),
            message -> {},
            clock);
    service = new ForwardService(() -> view, services);
    publish(config.version());
  }

  @AfterEach
  void close() {
    services.close();
    control.close();
    platform.close();
  }

  private static Inventory inventory() {
    Route books =
        new Route("books", "GET", "/books", true, PriorityClass.BROWSE, 1_000, 5_000, false);
    Service catalogue = new Service("catalogue", List.of(books));
    return new Inventory(
        List.of(),
        List.of(),
        List.of(),
        List.of(catalogue),
        List.of(),
        List.of(),
        List.of(),
        List.of());
  }

  /** Publishes the configuration as confirmed now, while the given version is known. */
  private void publish(long knownHeadVersion) {
    long nowNanos = clock.monotonicNanos();
    keyCheck.publish(config);
    keyCheck.keepFreshUntil(nowNanos + KEYS_FRESH_NANOS);
    view =
        new FleetView(
            config,
            RouteTable.of(config.inventory()),
            List.of(),
            OptionalLong.of(nowNanos + KEYS_FRESH_NANOS),
            OptionalLong.of(nowNanos),
            knownHeadVersion);
  }

  private AggregatedHttpResponse get(String path, String... keyHeaders) {
    var headers = RequestHeaders.builder(HttpMethod.GET, path);
    for (String key : keyHeaders) {
      headers.add("x-api-key", key);
    }
    HttpRequest request = HttpRequest.of(headers.build());
    return service.serve(ServiceRequestContext.of(request), request).aggregate().join();
  }

  private static void assertRefusedAsOutdated(AggregatedHttpResponse response) {
    assertThat(response.status().code()).isEqualTo(503);
    assertThat(response.headers().get("bambooarch-outcome")).isEqualTo("not-run");
    assertThat(response.headers().get("retry-after")).isEqualTo("1");
    assertThat(response.contentUtf8()).contains("configuration-stale");
  }

  @Test
  void should_refuse_unknown_routes_and_keys_for_good_when_the_view_is_known_to_be_the_newest() {
    assertThat(get("/added-later", KEY).status().code()).isEqualTo(404);
    assertThat(get("/books/1", UNKNOWN_KEY).status().code()).isEqualTo(401);
    assertThat(get("/books/1").status().code()).isEqualTo(401);
  }

  // Regression: an instance without its source of configuration refused routes and keys for good.
  @Test
  void should_refuse_unknown_routes_and_keys_as_not_run_when_nothing_confirms_the_view() {
    clock.advanceMillis(OUTDATED_MILLIS);

    assertRefusedAsOutdated(get("/added-later", KEY));
    assertRefusedAsOutdated(get("/books/1", UNKNOWN_KEY));
    assertRefusedAsOutdated(get("/books/1"));
  }

  // Regression: an instance refused for good what a version permits of which another one has told.
  @Test
  void should_refuse_unknown_routes_and_keys_as_not_run_when_a_newer_version_is_known() {
    publish(config.version() + 1);

    assertRefusedAsOutdated(get("/added-later", KEY));
    assertRefusedAsOutdated(get("/books/1", UNKNOWN_KEY));
    assertRefusedAsOutdated(get("/books/1"));
  }

  // The same class of fault: the customer of a key may be declared by a newer version.
  @Test
  void should_refuse_keys_of_undeclared_customers_for_good_only_when_the_view_is_the_newest() {
    assertThat(get("/books/1", KEY).status().code()).isEqualTo(401);

    publish(config.version() + 1);
    assertRefusedAsOutdated(get("/books/1", KEY));

    publish(config.version());
    clock.advanceMillis(OUTDATED_MILLIS);
    assertRefusedAsOutdated(get("/books/1", KEY));
  }

  @Test
  void should_refuse_as_not_run_when_the_view_was_never_confirmed() {
    view = FleetView.empty();

    assertRefusedAsOutdated(get("/books/1", KEY));
  }

  @Test
  void should_refuse_two_different_keys_for_good_when_the_view_is_outdated() {
    clock.advanceMillis(OUTDATED_MILLIS);

    assertThat(get("/books/1", KEY, UNKNOWN_KEY).status().code()).isEqualTo(401);
  }
}

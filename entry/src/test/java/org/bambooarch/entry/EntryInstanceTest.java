package org.bambooarch.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import java.time.Duration;
import java.util.List;
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
import org.bambooarch.standin.StandinPlatform;
import org.bambooarch.standin.StandinTarget;
import org.bambooarch.store.config.ConfigRepository;
import org.bambooarch.store.http.HttpPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EntryInstanceTest {

  private static final String HOST = "127.0.0.1";
  private static final String KEY = "test-key";

  private StandinPlatform platform;
  private StandinTarget target;
  private EntryInstance entry;

  @BeforeEach
  void startPlatformTargetAndEntry() throws Exception {
    platform = StandinPlatform.startOn(HOST, 0, 0, SystemClock.systemClock());
    target = StandinTarget.startOn("catalogue-1", HOST, 0);
    String uri = "http://" + HOST + ":" + platform.port();
    ConfigRepository repository =
        new ConfigRepository(HttpPlatform.at(uri, Duration.ofSeconds(10)));
    repository.propose(0, "c1", "test", new ConfigChange.ReplaceInventory(inventory()));
    repository.propose(
        1, "c2", "test", new ConfigChange.IssueKey(KeyDigest.of(KEY), "balaramapuram"));
    entry =
        EntryInstance.start(new EntrySettings("entry-1", "kochi-a", HOST, 0, 0, 0, uri, 10_000));
  }

  @AfterEach
  void stopEntryTargetAndPlatform() {
    entry.close();
    target.close();
    platform.close();
  }

  private Inventory inventory() {
    Route browse =
        new Route("books", "GET", "/books", true, PriorityClass.BROWSE, 1_000, 5_000, false);
    return new Inventory(
        List.of(new Region("kochi")),
        List.of(new DataCentre("kochi-a", "kochi")),
        List.of(),
        List.of(new Service("catalogue", List.of(browse))),
        List.of(new Server("catalogue-1", "catalogue", "kochi-a", HOST, target.port(), 4, 100)),
        List.of(new Customer("balaramapuram", 100, 100)),
        List.of(),
        List.of());
  }

  private AggregatedHttpResponse get(String path, String key) {
    WebClient client = WebClient.of("http://" + HOST + ":" + entry.callersPort());
    RequestHeaders headers =
        RequestHeaders.of(HttpMethod.GET, path, "authorization", "Bearer " + key);
    return client.execute(headers).aggregate().join();
  }

  @Test
  void should_return_the_response_of_a_target_when_the_key_belongs_to_a_customer() {
    // when
    AggregatedHttpResponse response = get("/books/17", KEY);
    // then
    assertThat(response.status().code()).isEqualTo(200);
    assertThat(response.contentUtf8())
        .contains("target=catalogue-1", "path=/books/17", "customer=balaramapuram");
  }

  @Test
  void should_refuse_without_reaching_the_target_when_the_key_is_unknown() {
    // when
    AggregatedHttpResponse response = get("/books/17", "other-key");
    // then
    assertThat(response.status().code()).isEqualTo(401);
    assertThat(response.headers().get("bambooarch-outcome")).isEqualTo("not-run");
    assertThat(target.requestCount()).isZero();
  }
}

package org.bambooarch.cli.quickstart;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.bambooarch.cli.http.CallersClient;
import org.bambooarch.cli.http.CallersClient.ClientRequest;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.inventory.Service;
import org.bambooarch.entry.request.ProblemResponses;

/**
 * Sends the requests of one customer over all routes in turn, at most at half of its rate limit.
 */
final class CustomerLoad implements Runnable {

  private static final double RATE_FRACTION = 0.5;
  private static final long MIN_INTERVAL_MILLIS = 20;
  private static final long MILLIS_PER_SECOND = 1000;
  private static final long NANOS_PER_MICRO = 1000;

  /** Most sends of one request, of which all but the last were refused as not run. */
  private static final int MAX_SENDS = 5;

  /** A route with the name of its service and its own, for the summary. */
  private record NamedRoute(String name, Route route) {}

  private final Customer customer;
  private final String key;
  private final List<NamedRoute> routes = new ArrayList<>();
  private final WebClient client;
  private final int requests;
  private final LoadSummary summary;

  CustomerLoad(
      Customer customer,
      String key,
      Inventory inventory,
      WebClient client,
      int requests,
      LoadSummary summary) {
    this.customer = customer;
    this.key = key;
    this.client = client;
    this.requests = requests;
    this.summary = summary;
    for (Service service : inventory.services()) {
      for (Route route : service.routes()) {
        routes.add(new NamedRoute(service.name() + "/" + route.name(), route));
      }
    }
  }

  @Override
  public void run() {
    long intervalMillis =
        Math.max(
            MIN_INTERVAL_MILLIS,
            (long) (MILLIS_PER_SECOND / (customer.requestsPerSecond() * RATE_FRACTION)));
    for (int i = 0; i < requests; i++) {
      NamedRoute route = routes.get(i % routes.size());
      try {
        sendWithRetries(route, i);
        Thread.sleep(Duration.ofMillis(intervalMillis));
      } catch (IOException e) {
        summary.recordFailed(e.getMessage());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void sendWithRetries(NamedRoute named, int number)
      throws IOException, InterruptedException {
    Route route = named.route();
    boolean hasBody = !route.method().equals("GET");
    ClientRequest request =
        new ClientRequest(
            HttpMethod.valueOf(route.method()),
            route.pathPrefix() + "/" + customer.name() + "-" + number,
            key,
            route.idempotent() ? "" : UUID.randomUUID().toString(),
            hasBody ? "{\"number\":" + number + "}" : "");
    for (int send = 1; ; send++) {
      long startedNanos = System.nanoTime();
      AggregatedHttpResponse response = CallersClient.send(client, request);
      if (response.status().isSuccess()) {
        summary.recordAnswered(named.name(), (System.nanoTime() - startedNanos) / NANOS_PER_MICRO);
        return;
      }
      if (send == MAX_SENDS || !isNotRun(response)) {
        summary.recordFailed(response.status().codeAsText() + " " + response.contentUtf8().strip());
        return;
      }
      summary.recordResend();
      Thread.sleep(Duration.ofMillis(retryAfterMillis(response)));
    }
  }

  private static boolean isNotRun(AggregatedHttpResponse response) {
    return response.headers().get(ProblemResponses.OUTCOME_HEADER, "").equals("not-run");
  }

  private static long retryAfterMillis(AggregatedHttpResponse response) {
    return response.headers().getLong("retry-after", 1) * MILLIS_PER_SECOND;
  }
}

package org.bambooarch.cli.quickstart;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.http.CallersClient;
import org.bambooarch.cli.http.CallersClient.ClientRequest;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.inventory.Route;
import org.bambooarch.core.key.KeyDigest;
import org.bambooarch.entry.EntryInstance;
import org.bambooarch.entry.lookup.LookupService;
import org.bambooarch.entry.lookup.LookupService.LookupInstance;
import org.bambooarch.inventory.InvalidInventoryException;

/** Demonstrates a look-up, requests and the withdrawal of a key, and prints the results. */
public final class Quickstart {

  private static final long POLL_INTERVAL_MILLIS = 50;
  private static final long WAIT_TIMEOUT_MILLIS = 15_000;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int KEY_REJECTED_STATUS = 401;

  private final LoopbackFleet fleet;
  private final Console console;

  /** Creates a demonstration on a running fleet. */
  public Quickstart(LoopbackFleet fleet, Console console) {
    this.fleet = fleet;
    this.console = console;
  }

  /** Runs all steps; each customer sends the given number of requests. */
  public LoadSummary run(int requestsPerCustomer) throws IOException, InvalidInventoryException {
    console.printLine("stand-in platform  %s", fleet.platformUri());
    console.printLine("stand-in targets   %d", fleet.targets().count());
    for (EntryInstance instance : fleet.instances()) {
      console.printLine(
          "entry instance     callers %s operators %s",
          fleet.callersUri(instance), fleet.operatorsUri(instance));
    }
    awaitConfigurationInForce();
    console.printLine("version %d is in force on all instances", fleet.version());
    printLookup();
    LoadSummary summary = sendAll(requestsPerCustomer);
    withdrawOneKey();
    console.printLine("%s", summary.toText());
    return summary;
  }

  /** Prints commands that can be tried while the fleet keeps running. */
  public void printCurlLines() {
    EntryInstance instance = fleet.instances().getFirst();
    String callers = fleet.callersUri(instance);
    Customer customer = fleet.inventory().customers().getFirst();
    String key = fleet.keysByCustomer().get(customer.name());
    console.printLine("try:");
    console.printLine("  curl '%s%s?client=10.20.1.9'", callers, LookupService.PATH);
    for (Route route : fleet.inventory().services().getFirst().routes()) {
      console.printLine(
          "  curl -X %s -H 'Authorization: Bearer %s' '%s%s/1'",
          route.method(), key, callers, route.pathPrefix());
    }
    String operators = fleet.operatorsUri(instance);
    console.printLine(
        "  curl '%s/ready'; curl '%s/dump'; curl '%s/metrics'", operators, operators, operators);
    console.printLine("  bin/bambooarch status --platform %s", fleet.platformUri());
    console.printLine("running until stopped with Ctrl-C");
  }

  private void awaitConfigurationInForce() throws IOException {
    await(
        "the version is in force and all instances are listed",
        () ->
            fleet.instances().stream()
                .allMatch(
                    instance ->
                        instance.view().config().version() >= fleet.version()
                            && instance.listedInstances().size() == fleet.instances().size()));
  }

  private void printLookup() throws IOException {
    String entry = fleet.callersUri(fleet.instances().getFirst());
    long startedNanos = System.nanoTime();
    List<LookupInstance> answer = CallersClient.lookup(entry, "10.20.1.9");
    long millis = (System.nanoTime() - startedNanos) / NANOS_PER_MILLI;
    console.printLine(
        "look-up for 10.20.1.9 answered in %d ms: %s",
        millis, answer.stream().map(LookupInstance::name).toList());
  }

  private LoadSummary sendAll(int requestsPerCustomer) throws IOException {
    LoadSummary summary = new LoadSummary();
    List<Customer> customers = fleet.inventory().customers();
    try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int i = 0; i < customers.size(); i++) {
        EntryInstance instance = fleet.instances().get(i % fleet.instances().size());
        Customer customer = customers.get(i);
        threads.execute(
            new CustomerLoad(
                customer,
                fleet.keysByCustomer().get(customer.name()),
                fleet.inventory(),
                CallersClient.webClient(fleet.callersUri(instance)),
                requestsPerCustomer,
                summary));
      }
    }
    return summary;
  }

  private void withdrawOneKey() throws IOException, InvalidInventoryException {
    String customer = fleet.inventory().customers().getLast().name();
    String key = fleet.keysByCustomer().get(customer);
    String path = firstPathRequiringKey();
    WebClient client = CallersClient.webClient(fleet.callersUri(fleet.instances().getFirst()));
    long startedNanos = System.nanoTime();
    fleet.propose(new ConfigChange.WithdrawKey(KeyDigest.of(key)));
    ClientRequest request = new ClientRequest(HttpMethod.GET, path, key, "", "");
    await("the withdrawn key is refused", () -> isRefused(client, request));
    console.printLine(
        "key of %s withdrawn; refused on an open connection after %d ms",
        customer, (System.nanoTime() - startedNanos) / NANOS_PER_MILLI);
  }

  /**
   * Returns whether a request is refused for its key. A response that is under way when its key is
   * withdrawn is aborted; that counts as not refused yet, and the next request is refused.
   */
  private static boolean isRefused(WebClient client, ClientRequest request) {
    try {
      return CallersClient.send(client, request).status().code() == KEY_REJECTED_STATUS;
    } catch (IOException e) {
      return false;
    }
  }

  private String firstPathRequiringKey() {
    return fleet.inventory().services().stream()
        .flatMap(service -> service.routes().stream())
        .filter(route -> route.method().equals("GET") && !route.openToAll())
        .map(Route::pathPrefix)
        .findFirst()
        .orElse("/");
  }

  private static void await(String what, Condition condition) throws IOException {
    long deadlineNanos = System.nanoTime() + WAIT_TIMEOUT_MILLIS * NANOS_PER_MILLI;
    while (!condition.isMet()) {
      if (System.nanoTime() - deadlineNanos >= 0) {
        throw new IOException(
            "timed out after " + WAIT_TIMEOUT_MILLIS + " ms waiting until " + what);
      }
      try {
        Thread.sleep(Duration.ofMillis(POLL_INTERVAL_MILLIS));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted while waiting until " + what, e);
      }
    }
  }

  /** A condition that is polled until it is met. */
  @FunctionalInterface
  private interface Condition {
    boolean isMet() throws IOException;
  }
}

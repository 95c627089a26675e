package org.bambooarch.cli.quickstart;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.bambooarch.cli.config.ChangeProposer;
import org.bambooarch.cli.config.ProposalOutcome;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.inventory.Customer;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.core.key.KeyDigest;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.entry.ControlSettings;
import org.bambooarch.entry.EntryInstance;
import org.bambooarch.entry.EntrySettings;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.standin.StandinPlatform;
import org.bambooarch.store.PlatformException;
import org.bambooarch.store.config.ConfigRepository;
import org.bambooarch.store.http.HttpPlatformClient;

/**
 * A stand-in platform, stand-in targets and one entry instance in each region, in one process.
 *
 * <p>All ports are chosen by the operating system, so several fleets can run on one machine.
 */
public final class LoopbackFleet implements AutoCloseable {

  private static final String HOST = "127.0.0.1";
  private static final String AUTHOR = "quickstart";
  private static final long LIST_LAG_MILLIS = 200;
  private static final long PLATFORM_TIMEOUT_MILLIS = 5_000;

  private final StandinPlatform platform;
  private final StandinTargets targets;
  private final Inventory inventory;
  private final ConfigRepository repository;
  private final List<EntryInstance> instances = new ArrayList<>();
  private final Map<String, String> keysByCustomer = new LinkedHashMap<>();
  private final String peerSecret = UUID.randomUUID().toString();
  private long version;

  private LoopbackFleet(Inventory declared) {
    this.platform = StandinPlatform.startOn(HOST, 0, LIST_LAG_MILLIS, SystemClock.systemClock());
    this.targets = StandinTargets.startOnFreePorts(declared.servers());
    this.inventory = withServers(declared, targets.servers());
    this.repository =
        new ConfigRepository(
            HttpPlatformClient.create(platformUri(), Duration.ofMillis(PLATFORM_TIMEOUT_MILLIS)));
  }

  /**
   * Starts the stand-ins, applies the inventory with their ports, issues a key to each customer and
   * starts the instances.
   */
  public static LoopbackFleet start(Inventory declared)
      throws PlatformException, InvalidInventoryException, IOException {
    LoopbackFleet fleet = new LoopbackFleet(declared);
    try {
      fleet.propose(new ConfigChange.ReplaceInventory(fleet.inventory));
      for (Customer customer : declared.customers()) {
        fleet.issueKey(customer.name());
      }
      for (Region region : declared.regions()) {
        fleet.startInstance(firstDataCentre(declared, region));
      }
      return fleet;
    } catch (PlatformException | InvalidInventoryException | IOException e) {
      fleet.close();
      throw e;
    }
  }

  /** Returns the base URI of the stand-in platform. */
  public String platformUri() {
    return "http://" + HOST + ":" + platform.port();
  }

  /** Returns the stand-in platform, for example to inject faults. */
  public StandinPlatform platform() {
    return platform;
  }

  /** Returns the stand-in targets. */
  public StandinTargets targets() {
    return targets;
  }

  /** Returns the applied inventory, which has the ports on which the stand-in targets listen. */
  public Inventory inventory() {
    return inventory;
  }

  /** Returns the instances, one for each region, in the order of the inventory's regions. */
  public List<EntryInstance> instances() {
    return List.copyOf(instances);
  }

  /** Returns the callers' URI of an instance. */
  public String callersUri(EntryInstance instance) {
    return "http://" + HOST + ":" + instance.callersPort();
  }

  /** Returns the operators' URI of an instance. */
  public String operatorsUri(EntryInstance instance) {
    return "http://" + HOST + ":" + instance.operatorsPort();
  }

  /** Returns the key of each customer; the platform stores only digests of the keys. */
  public Map<String, String> keysByCustomer() {
    return Map.copyOf(keysByCustomer);
  }

  /** Returns the version of the last accepted change that was proposed through this object. */
  public long version() {
    return version;
  }

  /**
   * Proposes a change on top of {@link #version()}.
   *
   * @throws IOException if the change is not accepted, or if it is not known whether it is
   */
  public void propose(ConfigChange change) throws InvalidInventoryException, IOException {
    String changeId = UUID.randomUUID().toString();
    ProposalOutcome outcome =
        new ChangeProposer(repository, AUTHOR).propose(version, changeId, change);
    if (!(outcome instanceof ProposalOutcome.Accepted accepted)) {
      throw new IOException("the platform did not accept a change of the quickstart: " + outcome);
    }
    version = accepted.version();
  }

  @Override
  public void close() {
    try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
      instances.forEach(instance -> threads.execute(instance::close));
    }
    try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
      threads.execute(targets::close);
      threads.execute(platform::close);
    }
  }

  private void issueKey(String customer) throws InvalidInventoryException, IOException {
    String key = customer + "-" + UUID.randomUUID();
    keysByCustomer.put(customer, key);
    propose(new ConfigChange.IssueKey(KeyDigest.of(key), customer));
  }

  private void startInstance(String dataCentre) throws PlatformException {
    EntrySettings settings =
        new EntrySettings(
            "entry-" + dataCentre,
            dataCentre,
            HOST,
            0,
            0,
            0,
            platformUri(),
            PLATFORM_TIMEOUT_MILLIS,
            new ControlSettings(
                List.of(peerSecret), inventory.regions().getFirst().name(), List.of()));
    instances.add(EntryInstance.start(settings));
  }

  private static String firstDataCentre(Inventory inventory, Region region) {
    return inventory.dataCentres().stream()
        .filter(dataCentre -> dataCentre.region().equals(region.name()))
        .map(DataCentre::name)
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("region without data centre: " + region));
  }

  private static Inventory withServers(Inventory declared, List<Server> servers) {
    return new Inventory(
        declared.regions(),
        declared.dataCentres(),
        declared.links(),
        declared.services(),
        servers,
        declared.customers(),
        declared.clientBlocks(),
        declared.drains());
  }
}

package org.bambooarch.entry.control;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.bambooarch.core.config.ConfigMessage;
import org.bambooarch.core.config.ConfigReplicator;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.config.ConfigTextCodec;
import org.bambooarch.core.config.ReplicationMember;
import org.bambooarch.core.config.ReplicationSettings;
import org.bambooarch.core.config.StoreRead;
import org.bambooarch.core.config.StoreReadResult;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.peer.PeerSender;
import org.bambooarch.core.time.Clock;
import org.bambooarch.entry.EntrySettings;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.store.InstanceRecord;
import org.bambooarch.store.PlatformException;
import org.bambooarch.store.config.ConfigReader;
import org.bambooarch.store.config.ConfigRepository;
import org.bambooarch.store.config.ConfigSnapshots;
import org.bambooarch.store.config.JsonConfigText;
import org.bambooarch.store.http.HttpPlatformClient;
import org.tinylog.Logger;

/**
 * Keeps the configuration up to date from the platform's store and from peers.
 *
 * <p>State changes on the control thread only; calls to the store block, so they run on virtual
 * threads and report back to the control thread.
 */
final class ConfigSynchronizer {

  private final EntrySettings settings;
  private final Clock clock;
  private final Executor control;
  private final ConfigReplicator replicator;
  private final ConfigReader reader;
  private final ConfigSnapshots snapshots;
  private List<InstanceRecord> instances = List.of();
  private List<DataCentre> dataCentres = List.of();
  private boolean lastReadFailed;
  private long lastSnapshotVersion;

  ConfigSynchronizer(
      EntrySettings settings,
      HttpPlatformClient platform,
      PeerSender sender,
      Clock clock,
      RandomGenerator random,
      Executor control) {
    this.settings = settings;
    this.clock = clock;
    this.control = control;
    ConfigTextCodec codec = new JsonConfigText();
    this.snapshots = new ConfigSnapshots(platform, codec);
    this.reader = new ConfigReader(new ConfigRepository(platform), snapshots);
    ReplicationSettings replicationSettings =
        ReplicationSettings.of(settings.name(), settings.dataCentre());
    this.replicator = new ConfigReplicator(replicationSettings, codec, sender, clock, random);
  }

  ConfigReplicator replicator() {
    return replicator;
  }

  /** Reads the configuration table once and waits for the result; only for the start. */
  void readAndWait() throws PlatformException, InvalidInventoryException {
    StoreRead read = new StoreRead(clock.monotonicNanos(), replicator.state().version());
    replicator.onStoreRead(read, reader.read(read));
    updateDataCentres();
  }

  void tick() {
    replicator.tick().ifPresent(this::startRead);
    updateDataCentres();
    writeSnapshotWhenDue();
  }

  void receive(String fromInstance, ConfigMessage message) {
    replicator.receive(fromInstance, message);
  }

  void updateInstances(List<InstanceRecord> current) {
    instances = current;
    updateMembers();
  }

  private void updateDataCentres() {
    List<DataCentre> declared = replicator.state().inventory().dataCentres();
    if (declared != dataCentres) {
      dataCentres = declared;
      updateMembers();
    }
  }

  private void updateMembers() {
    Collection<ReplicationMember> members =
        instances.stream()
            .map(instance -> new ReplicationMember(instance.name(), instance.dataCentre()))
            .toList();
    replicator.updateMembers(members, storeRegionDataCentres());
  }

  private Set<String> storeRegionDataCentres() {
    return dataCentres.stream()
        .filter(dataCentre -> dataCentre.region().equals(settings.control().storeRegion()))
        .map(DataCentre::name)
        .collect(Collectors.toSet());
  }

  private void startRead(StoreRead read) {
    Thread.startVirtualThread(() -> readAndReport(read));
  }

  private void readAndReport(StoreRead read) {
    try {
      StoreReadResult result = reader.read(read);
      control.execute(() -> onStoreRead(read, result));
    } catch (PlatformException | InvalidInventoryException e) {
      control.execute(() -> onReadFailed(read, e));
    }
  }

  private void onStoreRead(StoreRead read, StoreReadResult result) {
    replicator.onStoreRead(read, result);
    if (lastReadFailed) {
      lastReadFailed = false;
      Logger.info("event=store-answers-again headVersion={}", result.headVersion());
    }
  }

  private void onReadFailed(StoreRead read, Exception cause) {
    replicator.onStoreReadFailed(read);
    if (!lastReadFailed) {
      lastReadFailed = true;
      Logger.warn("event=store-read-failed reason=\"{}\"", cause.getMessage());
    }
  }

  private void writeSnapshotWhenDue() {
    ConfigState state = replicator.state();
    boolean due =
        state.version() / ConfigSnapshots.INTERVAL_VERSIONS
            > lastSnapshotVersion / ConfigSnapshots.INTERVAL_VERSIONS;
    if (!due) {
      return;
    }
    lastSnapshotVersion = state.version();
    if (replicator.status().reader() && storeRegionDataCentres().contains(settings.dataCentre())) {
      Thread.startVirtualThread(() -> writeSnapshot(state));
    }
  }

  private void writeSnapshot(ConfigState state) {
    try {
      snapshots.write(state);
      Logger.info("event=snapshot-written version={}", state.version());
    } catch (PlatformException e) {
      Logger.warn(
          "event=snapshot-not-written version={} reason=\"{}\"", state.version(), e.getMessage());
    }
  }
}

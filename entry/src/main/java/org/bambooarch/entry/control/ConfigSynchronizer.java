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
import org.bambooarch.store.http.HttpPlatform;
import org.tinylog.Logger;

/** Runs the spread of the configuration over the platform and the peers, on the control thread. */
final class ConfigSynchronizer {

  private final EntrySettings settings;
  private final Clock clock;
  private final Executor control;
  private final ConfigReplicator spread;
  private final ConfigReader reader;
  private final ConfigSnapshots snapshots;
  private List<InstanceRecord> instances = List.of();
  private List<DataCentre> dataCentres = List.of();
  private boolean lastReadFailed;
  private long lastSnapshotVersion;

  ConfigSynchronizer(
      EntrySettings settings,
      HttpPlatform platform,
      PeerSender sender,
      Clock clock,
      RandomGenerator random,
      Executor control) {
    this.settings = settings;
    this.clock = clock;
    this.control = control;
    ConfigTextCodec text = new JsonConfigText();
    this.snapshots = new ConfigSnapshots(platform, text);
    this.reader = new ConfigReader(new ConfigRepository(platform), snapshots);
    ReplicationSettings spreadSettings =
        ReplicationSettings.of(settings.name(), settings.dataCentre());
    this.spread = new ConfigReplicator(spreadSettings, text, sender, clock, random);
  }

  ConfigReplicator spread() {
    return spread;
  }

  /** Reads the table once and waits for the answer; only for the start of the process. */
  void readAndWait() throws PlatformException, InvalidInventoryException {
    StoreRead read = new StoreRead(clock.monotonicNanos(), spread.state().version());
    spread.onStoreRead(read, reader.read(read));
    updateDataCentres();
  }

  void tick() {
    spread.tick().ifPresent(this::startRead);
    updateDataCentres();
    writeSnapshotWhenDue();
  }

  void receive(String fromInstance, ConfigMessage message) {
    spread.receive(fromInstance, message);
  }

  void updateInstances(List<InstanceRecord> current) {
    instances = current;
    updateMembers();
  }

  private void updateDataCentres() {
    List<DataCentre> declared = spread.state().inventory().dataCentres();
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
    spread.updateMembers(members, storeRegionDataCentres());
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
      StoreReadResult answer = reader.read(read);
      control.execute(() -> onStoreAnswer(read, answer));
    } catch (PlatformException | InvalidInventoryException e) {
      control.execute(() -> onReadFailed(read, e));
    }
  }

  private void onStoreAnswer(StoreRead read, StoreReadResult answer) {
    spread.onStoreRead(read, answer);
    if (lastReadFailed) {
      lastReadFailed = false;
      Logger.info("event=store-answers-again headVersion={}", answer.headVersion());
    }
  }

  private void onReadFailed(StoreRead read, Exception cause) {
    spread.onStoreReadFailed(read);
    if (!lastReadFailed) {
      lastReadFailed = true;
      Logger.warn("event=store-read-failed reason=\"{}\"", cause.getMessage());
    }
  }

  private void writeSnapshotWhenDue() {
    ConfigState state = spread.state();
    boolean due =
        state.version() / ConfigSnapshots.INTERVAL_VERSIONS
            > lastSnapshotVersion / ConfigSnapshots.INTERVAL_VERSIONS;
    if (!due) {
      return;
    }
    lastSnapshotVersion = state.version();
    if (spread.status().reader() && storeRegionDataCentres().contains(settings.dataCentre())) {
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

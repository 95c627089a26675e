package org.bambooarch.entry.control;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.bambooarch.core.config.ConfigMessage;
import org.bambooarch.core.config.ConfigSpread;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.config.ConfigText;
import org.bambooarch.core.config.SpreadMember;
import org.bambooarch.core.config.SpreadSettings;
import org.bambooarch.core.config.StoreAnswer;
import org.bambooarch.core.config.StoreRead;
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

/** Runs the spread of the configuration over the platform and the peers, on the control thread. */
final class ConfigSystem {

  private final EntrySettings settings;
  private final Clock clock;
  private final Executor control;
  private final ConfigSpread spread;
  private final ConfigReader reader;
  private final ConfigSnapshots snapshots;
  private List<InstanceRecord> instances = List.of();
  private List<DataCentre> dataCentres = List.of();
  private boolean lastReadFailed;
  private long lastSnapshotVersion;

  ConfigSystem(
      EntrySettings settings,
      HttpPlatformClient platform,
      PeerSender sender,
      Clock clock,
      RandomGenerator random,
      Executor control) {
    this.settings = settings;
    this.clock = clock;
    this.control = control;
    ConfigText text = new JsonConfigText();
    this.snapshots = new ConfigSnapshots(platform, text);
    this.reader = new ConfigReader(new ConfigRepository(platform), snapshots);
    SpreadSettings limits = SpreadSettings.of(settings.name(), settings.dataCentre());
    this.spread = new ConfigSpread(limits, text, sender, clock, random);
  }

  ConfigSpread spread() {
    return spread;
  }

  /** Reads the table once and waits for the answer; only for the start of the process. */
  void readNow() throws PlatformException, InvalidInventoryException {
    StoreRead read = new StoreRead(clock.monotonicNanos(), spread.state().version());
    spread.storeAnswered(read, reader.read(read));
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
    Collection<SpreadMember> members =
        instances.stream()
            .map(instance -> new SpreadMember(instance.name(), instance.dataCentre()))
            .toList();
    spread.updateMembers(members, dataCentresBesideStore());
  }

  private Set<String> dataCentresBesideStore() {
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
      StoreAnswer answer = reader.read(read);
      control.execute(() -> answered(read, answer));
    } catch (PlatformException | InvalidInventoryException e) {
      control.execute(() -> failed(read, e));
    }
  }

  private void answered(StoreRead read, StoreAnswer answer) {
    spread.storeAnswered(read, answer);
    if (lastReadFailed) {
      lastReadFailed = false;
      Logger.info("event=store-answers-again headVersion={}", answer.headVersion());
    }
  }

  private void failed(StoreRead read, Exception cause) {
    spread.storeFailed(read);
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
    if (spread.status().reader() && dataCentresBesideStore().contains(settings.dataCentre())) {
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

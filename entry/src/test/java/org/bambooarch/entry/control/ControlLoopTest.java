package org.bambooarch.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.config.LoggedChange;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.core.key.KeyCheck;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.entry.ControlSettings;
import org.bambooarch.entry.EntrySettings;
import org.bambooarch.standin.PlatformFaults;
import org.bambooarch.standin.StandinPlatform;
import org.bambooarch.store.InstanceRecord;
import org.bambooarch.store.config.ConfigRepository;
import org.bambooarch.store.http.HttpPlatformClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

// The timeout ends a run that hangs. The tests wait for conditions, not for fixed times.
@Timeout(120)
class ControlLoopTest {

  private static final String HOST = "127.0.0.1";
  private static final long POLL_INTERVAL_NANOS = 10_000_000L;
  private static final PlatformFaults DOWN = new PlatformFaults(true, 0, false);

  private final List<ControlLoop> loops = new ArrayList<>();
  private StandinPlatform standin;
  private HttpPlatformClient platform;
  private ConfigRepository repository;

  @BeforeEach
  void startPlatform() throws Exception {
    standin = StandinPlatform.startOn(HOST, 0, 0, SystemClock.systemClock());
    platform =
        HttpPlatformClient.create("http://" + HOST + ":" + standin.port(), Duration.ofSeconds(2));
    repository = new ConfigRepository(platform);
    Inventory inventory =
        new Inventory(
            List.of(new Region("kochi"), new Region("tvm")),
            List.of(
                new DataCentre("kochi-a", "kochi"),
                new DataCentre("kochi-b", "kochi"),
                new DataCentre("tvm-a", "tvm")),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of());
    repository.propose(0, "c1", "test", new ConfigChange.ReplaceInventory(inventory));
  }

  @AfterEach
  void stop() {
    loops.forEach(ControlLoop::close);
    standin.close();
  }

  private ControlLoop startLoop(String name, String dataCentre, List<InstanceRecord> seedPeers)
      throws Exception {
    ControlSettings control =
        new ControlSettings(List.of("the secret of this test fleet"), "kochi", seedPeers);
    EntrySettings settings =
        new EntrySettings(name, dataCentre, HOST, 0, 0, 0, "http://unused", 2_000, control);
    ControlLoop loop =
        ControlLoop.create(
            settings,
            platform,
            KeyCheck.acceptingNothing(SystemClock.systemClock()),
            SystemClock.systemClock());
    loops.add(loop);
    loop.start();
    return loop;
  }

  private ControlLoop startListedLoop(String name, String dataCentre) throws Exception {
    ControlLoop loop = startLoop(name, dataCentre, List.of());
    platform.announce(new InstanceRecord(name, dataCentre, HOST, 1, loop.peersPort(), 0, false));
    return loop;
  }

  private static void await(BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }

  private static boolean hasPeers(ControlLoop loop, int count) {
    return loop.peerStatuses().stream().filter(peer -> peer.connected()).count() == count;
  }

  @Test
  void should_start_from_peers_with_fresh_keys_when_the_store_is_down() throws Exception {
    // given
    ControlLoop kochiA = startListedLoop("entry-1", "kochi-a");
    ControlLoop kochiB = startListedLoop("entry-2", "kochi-b");
    await(() -> hasPeers(kochiA, 1) && hasPeers(kochiB, 1));
    standin.injectFaults(DOWN);
    await(() -> kochiA.replicationStatus().storeAttestedDown());
    // when: the restarted instance knows its peers from its settings only, and none of them knows
    // it
    List<InstanceRecord> seedPeers =
        List.of(
            new InstanceRecord("entry-1", "kochi-a", HOST, 1, kochiA.peersPort(), 0, false),
            new InstanceRecord("entry-2", "kochi-b", HOST, 1, kochiB.peersPort(), 0, false));
    ControlLoop restarted = startLoop("entry-3", "tvm-a", seedPeers);
    // then
    await(() -> restarted.view().config().version() == 1);
    await(() -> restarted.replicationStatus().storeAttestedDown());
    assertThat(restarted.view().areKeysFresh(System.nanoTime())).isTrue();
  }

  // Guards against final refusals by a version that is older than one of which a peer has told.
  @Test
  void should_not_take_its_configuration_for_the_newest_when_a_peer_has_told_of_a_newer_one()
      throws Exception {
    // given
    ControlLoop kochiA = startListedLoop("entry-1", "kochi-a");
    ControlLoop kochiB = startListedLoop("entry-2", "kochi-b");
    await(() -> hasPeers(kochiA, 1) && hasPeers(kochiB, 1));
    await(() -> kochiB.view().isConfirmedNewest(System.nanoTime()));
    // when: the changes before this one are missing, so that it cannot be applied
    kochiA.announceChange(new LoggedChange(9, "{\"kind\":\"withdraw-key\",\"digest\":\"d1\"}"));
    // then
    await(() -> kochiA.view().knownHeadVersion() == 9);
    assertThat(kochiA.view().config().version()).isEqualTo(1);
    assertThat(kochiA.view().isConfirmedNewest(System.nanoTime())).isFalse();
    await(() -> kochiB.view().knownHeadVersion() == 9);
    assertThat(kochiB.view().isConfirmedNewest(System.nanoTime())).isFalse();
  }

  @Test
  void should_apply_a_change_on_peers_when_it_is_announced_while_the_store_is_down()
      throws Exception {
    // given
    ControlLoop kochiA = startListedLoop("entry-1", "kochi-a");
    ControlLoop kochiB = startListedLoop("entry-2", "kochi-b");
    await(() -> hasPeers(kochiA, 1) && hasPeers(kochiB, 1));
    repository.propose(1, "c2", "test", new ConfigChange.IssueKey("d1", "kerala"));
    await(() -> kochiB.view().config().version() == 2);
    // when
    repository.propose(2, "c3", "test", new ConfigChange.WithdrawKey("d1"));
    standin.injectFaults(DOWN);
    kochiA.announceChange(new LoggedChange(3, "{\"kind\":\"withdraw-key\",\"digest\":\"d1\"}"));
    // then
    await(() -> kochiB.view().config().version() == 3);
    assertThat(kochiB.view().config().keysByDigest().get("d1").withdrawn()).isTrue();
  }
}

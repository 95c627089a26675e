package org.bambooarch.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bambooarch.core.config.internal.ChangeLog;
import org.bambooarch.core.config.internal.ChangePuller;
import org.bambooarch.core.config.internal.ConfigRequestHandler;
import org.bambooarch.core.config.internal.FreshnessTracker;
import org.bambooarch.core.config.internal.MemberTable;
import org.bambooarch.core.config.internal.OutageAttestations.Attestation;
import org.bambooarch.core.config.internal.PeerVersions;
import org.bambooarch.core.config.internal.ProbeTable;
import org.bambooarch.core.config.internal.StoreReadTracker;
import org.bambooarch.core.peer.PeerSender;
import org.bambooarch.core.time.Clock;

/**
 * Keeps the configuration of one instance at the newest committed version, and tracks when it was
 * last confirmed to be the newest.
 *
 * <p>In each data centre a few instances, the readers, read the table of changes and push new
 * changes to the other instances of the data centre. All instances probe the readers and pull
 * changes that they miss. All methods must be called on the control thread.
 *
 * <pre>{@code
 * Optional<StoreRead> read = replicator.tick();
 * read.ifPresent(this::startRead);
 * keyCheck.publish(replicator.state().keysByDigest(), replicator.keysFreshUntilNanos());
 * }</pre>
 */
public final class ConfigReplicator {

  private static final int NON_READER_STALE_FACTOR = 3;

  private final ReplicationSettings settings;
  private final Clock clock;
  private final PeerSender sender;
  private final RandomGenerator random;
  private final ChangeLog log;
  private final MemberTable members;
  private final FreshnessTracker freshness;
  private final StoreReadTracker storeReads;
  private final ProbeTable probes;
  private final PeerVersions peerVersions = new PeerVersions();
  private final ChangePuller changePuller;
  private final ConfigRequestHandler requestHandler;
  private OptionalLong lastReaderStatementNanos = OptionalLong.empty();
  private OptionalLong operatorOutageUntilNanos = OptionalLong.empty();
  private long appliedAtNanos;
  private long nextPollNanos;
  private long nextProbeNanos;
  private long probeRound;
  private long storeReadsBehind;

  /** Creates the replicator of a process that has just started, at version 0 and without peers. */
  public ConfigReplicator(
      ReplicationSettings settings,
      ConfigTextCodec codec,
      PeerSender sender,
      Clock clock,
      RandomGenerator random) {
    this.settings = settings;
    this.clock = clock;
    this.sender = sender;
    this.random = random;
    this.log = new ChangeLog(codec);
    this.members = new MemberTable(settings);
    this.freshness = new FreshnessTracker(settings);
    this.storeReads = new StoreReadTracker(settings.readTimeoutNanos());
    this.requestHandler = new ConfigRequestHandler(log, peerVersions, freshness, sender, codec);
    // Probe numbers start at random, so that answers to an earlier process of the same instance
    // match no probe of this one.
    this.probes = new ProbeTable(random.nextLong() >>> 1);
    long nowNanos = clock.monotonicNanos();
    this.appliedAtNanos = nowNanos;
    this.nextPollNanos = nowNanos;
    this.nextProbeNanos = nowNanos;
    this.changePuller =
        new ChangePuller(settings, log, members, peerVersions, sender, random, nowNanos);
  }

  /** Replaces the live instances and the data centres of the store's region. */
  public void updateMembers(
      Collection<ReplicationMember> liveMembers, Set<String> storeRegionDataCentres) {
    members.update(liveMembers, storeRegionDataCentres);
    freshness.updateStoreRegionDataCentres(storeRegionDataCentres);
    peerVersions.retain(members.instances());
  }

  /** Returns the applied configuration. */
  public ConfigState state() {
    return log.state();
  }

  /**
   * Returns the monotonic deadline until which keys may be accepted; after it, a key may have been
   * withdrawn unnoticed. Empty before the first confirmation that the applied keys are the newest.
   */
  public OptionalLong keysFreshUntilNanos() {
    return freshness.keysFreshUntilNanos();
  }

  /**
   * Returns the latest monotonic time at which the applied keys were confirmed to be the newest;
   * empty before the first confirmation.
   */
  public OptionalLong keysConfirmedNanos() {
    OptionalLong until = freshness.keysFreshUntilNanos();
    return until.isEmpty()
        ? until
        : OptionalLong.of(until.getAsLong() - settings.keyFreshnessNanos());
  }

  /**
   * Records that an operator attests the store to be down, so that no change can be committed until
   * a monotonic deadline.
   */
  public void attestStoreDown(long untilNanos) {
    operatorOutageUntilNanos = OptionalLong.of(untilNanos);
  }

  /**
   * Does all periodic work; returns a read of the table that the caller must start, if one is due.
   */
  public Optional<StoreRead> tick() {
    long nowNanos = clock.monotonicNanos();
    updateOwnAttestation(nowNanos);
    probe(nowNanos);
    changePuller.pull(nowNanos);
    return startRead(nowNanos);
  }

  /**
   * Records or withdraws this instance's own attestation of an outage, and applies that of an
   * operator while it lasts.
   */
  private void updateOwnAttestation(long nowNanos) {
    long head = peerVersions.knownHeadVersion();
    OptionalLong outage = observedOutageNanos(nowNanos);
    if (outage.isPresent()) {
      Attestation own = new Attestation(settings.dataCentre(), head, outage.getAsLong());
      freshness.recordAttestation(settings.instance(), own, log.version());
    } else {
      freshness.withdrawAttestation(settings.instance());
    }
    if (operatorOutageUntilNanos.isPresent()
        && operatorOutageUntilNanos.getAsLong() - nowNanos > 0) {
      freshness.recordOutageConfirmation(head, nowNanos, log.version());
    }
  }

  private Optional<StoreRead> startRead(long nowNanos) {
    boolean shouldRead = members.isReader() || haveReadersTimedOut(nowNanos);
    if (!shouldRead || nowNanos - nextPollNanos < 0 || !storeReads.canStart()) {
      return Optional.empty();
    }
    nextPollNanos = nowNanos + jittered(settings.pollIntervalNanos());
    storeReads.recordStarted(nowNanos);
    return Optional.of(new StoreRead(nowNanos, log.version()));
  }

  /** Returns whether no reader of this data centre has answered a probe for too long, or ever. */
  private boolean haveReadersTimedOut(long nowNanos) {
    return lastReaderStatementNanos.isEmpty()
        || nowNanos - lastReaderStatementNanos.getAsLong() > settings.readerTimeoutNanos();
  }

  private long jittered(long intervalNanos) {
    return intervalNanos - random.nextLong(intervalNanos / 4 + 1);
  }

  /** Processes the result of a read of the table. */
  public void onStoreRead(StoreRead read, StoreReadResult result) {
    storeReads.recordAnswered(read.sentNanos());
    boolean isBehind =
        result.headVersion() < log.version() && read.sentNanos() - appliedAtNanos > 0;
    if (isBehind) {
      // A table that was restored from an older backup does not confirm that the applied keys are
      // the newest.
      storeReadsBehind++;
      return;
    }
    peerVersions.recordHead(result.headVersion());
    if (result.snapshot().isPresent() && log.installSnapshot(result.snapshot().get())) {
      onApplied();
    }
    apply(settings.instance(), result.changes());
    freshness.recordTableConfirmation(result.headVersion(), read.sentNanos(), log.version());
  }

  /** Records that a read of the table failed. */
  public void onStoreReadFailed(StoreRead read) {
    storeReads.recordFailed(read.sentNanos());
  }

  /**
   * Applies a change that an operator's tool has committed and sent to this instance directly, and
   * forwards it to the other instances of this data centre and to readers in other data centres.
   *
   * <p>Otherwise no instance would learn of a change that is committed just before the store goes
   * down for everyone, until the store is available again.
   */
  public void announce(LoggedChange change) {
    peerVersions.recordHead(change.version());
    List<LoggedChange> changes = List.of(change);
    apply(settings.instance(), changes);
    List<String> receivers = new ArrayList<>(members.localPeers());
    receivers.addAll(members.remoteReaders(probeRound));
    receivers.addAll(members.remoteReaders(probeRound + 1));
    for (String receiver : receivers) {
      sender.send(receiver, new ConfigMessage.Deltas(changes));
    }
  }

  /** Processes a message from another instance. */
  public void receive(String fromInstance, ConfigMessage message) {
    switch (message) {
      case ConfigMessage.HeadProbe probe -> {
        long nowNanos = clock.monotonicNanos();
        requestHandler.answerProbe(fromInstance, probe, observedOutageNanos(nowNanos), nowNanos);
      }
      case ConfigMessage.HeadStatement statement -> onHeadStatement(fromInstance, statement);
      case ConfigMessage.Deltas deltas -> onDeltas(fromInstance, deltas.changes());
      case ConfigMessage.PullDeltas pull ->
          requestHandler.answerPull(fromInstance, pull.afterVersion());
      case ConfigMessage.PullSnapshot pull -> requestHandler.answerPull(fromInstance, pull);
      case ConfigMessage.SnapshotPart part -> onSnapshotPart(fromInstance, part);
    }
  }

  private void probe(long nowNanos) {
    if (nowNanos - nextProbeNanos < 0) {
      return;
    }
    nextProbeNanos = nowNanos + jittered(settings.probeIntervalNanos());
    probeRound++;
    List<String> receivers = new ArrayList<>(members.otherLocalReaders());
    int factor = members.isReader() ? 1 : NON_READER_STALE_FACTOR;
    if (freshness.ageNanos(nowNanos) > factor * settings.staleAfterNanos()) {
      receivers.addAll(members.remoteReaders(probeRound));
    }
    long number = probes.next(nowNanos);
    for (String receiver : receivers) {
      sender.send(receiver, new ConfigMessage.HeadProbe(number, log.version()));
    }
  }

  private OptionalLong observedOutageNanos(long nowNanos) {
    boolean inStoreRegion = freshness.isInStoreRegion(settings.dataCentre());
    return inStoreRegion ? storeReads.latestOutageNanos(nowNanos) : OptionalLong.empty();
  }

  private void onHeadStatement(String fromInstance, ConfigMessage.HeadStatement statement) {
    peerVersions.record(fromInstance, statement.appliedVersion());
    peerVersions.recordHead(statement.headVersion());
    OptionalLong sentNanos = probes.sentNanos(statement.probeNumber());
    if (sentNanos.isPresent()) {
      recordConfirmations(fromInstance, statement, sentNanos.getAsLong());
    }
    changePuller.pull(clock.monotonicNanos());
  }

  /**
   * Records the confirmations in an answer to a probe. Their ages are subtracted from the time at
   * which the probe was sent: the answer was written after that, so however late it arrives, no
   * confirmation is taken to be newer than it is.
   */
  private void recordConfirmations(
      String fromInstance, ConfigMessage.HeadStatement statement, long askedNanos) {
    if (members.isLocalReader(fromInstance)) {
      lastReaderStatementNanos = OptionalLong.of(askedNanos);
    }
    if (statement.headAgeNanos() >= 0) {
      long confirmedNanos = askedNanos - statement.headAgeNanos();
      freshness.recordTableConfirmation(statement.appliedVersion(), confirmedNanos, log.version());
    }
    if (statement.attestedOutageAgeNanos() >= 0) {
      long confirmedNanos = askedNanos - statement.attestedOutageAgeNanos();
      freshness.recordOutageConfirmation(statement.appliedVersion(), confirmedNanos, log.version());
    }
    if (statement.observedOutageAgeNanos() < 0) {
      freshness.withdrawAttestation(fromInstance);
      return;
    }
    Attestation attestation =
        new Attestation(
            members.dataCentreOf(fromInstance),
            statement.headVersion(),
            askedNanos - statement.observedOutageAgeNanos());
    freshness.recordAttestation(fromInstance, attestation, log.version());
  }

  private void onDeltas(String fromInstance, List<LoggedChange> changes) {
    if (changes.isEmpty()) {
      return;
    }
    peerVersions.record(fromInstance, changes.getLast().version());
    if (apply(fromInstance, changes) && peerVersions.knownHeadVersion() > log.version()) {
      changePuller.pullFrom(fromInstance);
    }
  }

  private void onSnapshotPart(String fromInstance, ConfigMessage.SnapshotPart part) {
    Optional<String> completed = changePuller.addPart(fromInstance, part);
    if (completed.isPresent() && log.installSnapshot(completed.get())) {
      onApplied();
      changePuller.pullFrom(fromInstance);
    }
  }

  private boolean apply(String source, List<LoggedChange> changes) {
    List<LoggedChange> applied = log.apply(changes);
    if (applied.isEmpty()) {
      return false;
    }
    onApplied();
    push(source, applied);
    return true;
  }

  private void onApplied() {
    appliedAtNanos = clock.monotonicNanos();
    peerVersions.recordHead(log.version());
    freshness.onVersionApplied(log.version());
  }

  private void push(String source, List<LoggedChange> applied) {
    int chars = applied.stream().mapToInt(change -> change.text().length()).sum();
    if (!members.isReader() || chars > ConfigRequestHandler.MAX_BATCH_CHARS) {
      // The other instances learn of a long batch by their next probe and pull it in parts.
      return;
    }
    ConfigMessage.Deltas deltas = new ConfigMessage.Deltas(applied);
    for (String localPeer : members.localPeers()) {
      if (!localPeer.equals(source)) {
        sender.send(localPeer, deltas);
      }
    }
  }

  /** Returns the state of the replication, for the state dump and the metrics. */
  public ReplicationStatus status() {
    long nowNanos = clock.monotonicNanos();
    long tableConfirmationAgeNanos = freshness.tableConfirmationAgeNanos(nowNanos);
    long outageConfirmationAgeNanos = freshness.outageConfirmationAgeNanos(nowNanos);
    boolean attestedDown =
        outageConfirmationAgeNanos >= 0
            && (tableConfirmationAgeNanos < 0
                || outageConfirmationAgeNanos < tableConfirmationAgeNanos);
    return new ReplicationStatus(
        log.version(),
        peerVersions.knownHeadVersion(),
        members.isReader(),
        attestedDown,
        tableConfirmationAgeNanos,
        log.conflictingTexts(),
        log.unreadableChanges(),
        storeReadsBehind);
  }
}

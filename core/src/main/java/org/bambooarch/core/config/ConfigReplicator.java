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
 * Keeps the configuration of one instance the newest that was accepted, and knows since when it is
 * sure of that.
 *
 * <p>A few readers of each data centre read the table and push new changes to their neighbours; all
 * others probe the readers and pull what they miss. All methods run on the control thread.
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

  /** Creates the spread of a process that has just started and knows nothing. */
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
    // A random first number keeps answers to an earlier process of this name from being believed.
    this.probes = new ProbeTable(random.nextLong() >>> 1);
    long nowNanos = clock.monotonicNanos();
    this.appliedAtNanos = nowNanos;
    this.nextPollNanos = nowNanos;
    this.nextProbeNanos = nowNanos;
    this.changePuller =
        new ChangePuller(settings, log, members, peerVersions, sender, random, nowNanos);
  }

  /** Replaces the live members and the data centres of the store's region. */
  public void updateMembers(
      Collection<ReplicationMember> live, Set<String> storeRegionDataCentres) {
    members.update(live, storeRegionDataCentres);
    freshness.updateStoreRegionDataCentres(storeRegionDataCentres);
    peerVersions.retain(members.instances());
  }

  /** Returns the configuration in force. */
  public ConfigState state() {
    return log.state();
  }

  /** Returns the deadline until which keys may be accepted; empty before the first evidence. */
  public OptionalLong keysFreshUntilNanos() {
    return freshness.keysFreshUntilNanos();
  }

  /** Returns the last moment at which the keys in force were proved to be the newest. */
  public OptionalLong keysConfirmedNanos() {
    OptionalLong until = freshness.keysFreshUntilNanos();
    return until.isEmpty()
        ? until
        : OptionalLong.of(until.getAsLong() - settings.keyFreshnessNanos());
  }

  /** Records the word of an operator that nothing is accepted until a deadline. */
  public void attestStoreDown(long untilNanos) {
    operatorOutageUntilNanos = OptionalLong.of(untilNanos);
  }

  /** Runs all periodic work; returns a read of the table to start, if one is due. */
  public Optional<StoreRead> tick() {
    long nowNanos = clock.monotonicNanos();
    updateOwnAttestation(nowNanos);
    probe(nowNanos);
    changePuller.pull(nowNanos);
    return startRead(nowNanos);
  }

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

  private boolean haveReadersTimedOut(long nowNanos) {
    return lastReaderStatementNanos.isEmpty()
        || nowNanos - lastReaderStatementNanos.getAsLong() > settings.readerTimeoutNanos();
  }

  private long jittered(long intervalNanos) {
    return intervalNanos - random.nextLong(intervalNanos / 4 + 1);
  }

  /** Takes the answer to a read of the table. */
  public void onStoreRead(StoreRead read, StoreReadResult result) {
    storeReads.recordAnswered(read.sentNanos());
    boolean isBehind =
        result.headVersion() < log.version() && read.sentNanos() - appliedAtNanos > 0;
    if (isBehind) {
      // A table restored from an older copy proves nothing about the keys in force.
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
   * Takes a change that an operator's tool has committed and hands over directly.
   *
   * <p>Without this, a change committed just before the store goes down for everyone would be known
   * to no instance until it returns. The change goes to neighbours and to other data centres.
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

  /** Handles a message of another instance. */
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
      recordEvidence(fromInstance, statement, sentNanos.getAsLong());
    }
    changePuller.pull(clock.monotonicNanos());
  }

  /** Every age counts from the probe: the answer was written after it, however late it arrives. */
  private void recordEvidence(
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
      // Neighbours learn of a long batch by their next probe and pull it piece by piece.
      return;
    }
    ConfigMessage.Deltas deltas = new ConfigMessage.Deltas(applied);
    for (String localPeer : members.localPeers()) {
      if (!localPeer.equals(source)) {
        sender.send(localPeer, deltas);
      }
    }
  }

  /** Returns what this instance knows, for the state dump. */
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

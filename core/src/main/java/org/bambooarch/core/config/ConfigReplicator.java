package org.bambooarch.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bambooarch.core.config.internal.ChangeLog;
import org.bambooarch.core.config.internal.Freshness;
import org.bambooarch.core.config.internal.GapFill;
import org.bambooarch.core.config.internal.MemberTable;
import org.bambooarch.core.config.internal.OutageAttestations.Attestation;
import org.bambooarch.core.config.internal.PeerAnswers;
import org.bambooarch.core.config.internal.PeerClaims;
import org.bambooarch.core.config.internal.ProbeTable;
import org.bambooarch.core.config.internal.StoreReads;
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
 * Optional<StoreRead> read = spread.tick();
 * read.ifPresent(this::startRead);
 * keyCheck.publish(spread.state().keysByDigest(), spread.keysFreshUntilNanos());
 * }</pre>
 */
public final class ConfigSpread {

  private static final int STALE_FACTOR_OF_OTHERS = 3;

  private final SpreadSettings settings;
  private final Clock clock;
  private final PeerSender sender;
  private final RandomGenerator random;
  private final ChangeLog log;
  private final MemberTable members;
  private final Freshness freshness;
  private final StoreReads reads;
  private final ProbeTable probes;
  private final PeerClaims claims = new PeerClaims();
  private final GapFill gapFill;
  private final PeerAnswers answers;
  private OptionalLong lastReaderStatementNanos = OptionalLong.empty();
  private OptionalLong operatorOutageUntilNanos = OptionalLong.empty();
  private long appliedAtNanos;
  private long nextPollNanos;
  private long nextProbeNanos;
  private long probeRound;
  private long storeReadsBehind;

  /** Creates the spread of a process that has just started and knows nothing. */
  public ConfigSpread(
      SpreadSettings settings,
      ConfigText text,
      PeerSender sender,
      Clock clock,
      RandomGenerator random) {
    this.settings = settings;
    this.clock = clock;
    this.sender = sender;
    this.random = random;
    this.log = new ChangeLog(text);
    this.members = new MemberTable(settings);
    this.freshness = new Freshness(settings);
    this.reads = new StoreReads(settings.readStallNanos());
    this.answers = new PeerAnswers(log, claims, freshness, sender, text);
    // A random first number keeps answers to an earlier process of this name from being believed.
    this.probes = new ProbeTable(random.nextLong() >>> 1);
    long nowNanos = clock.monotonicNanos();
    this.appliedAtNanos = nowNanos;
    this.nextPollNanos = nowNanos;
    this.nextProbeNanos = nowNanos;
    this.gapFill = new GapFill(settings, log, members, claims, sender, random, nowNanos);
  }

  /** Replaces the live members and the data centres of the store's region. */
  public void updateMembers(Collection<SpreadMember> live, Set<String> dataCentresBesideStore) {
    members.update(live, dataCentresBesideStore);
    freshness.updateDataCentresBesideStore(dataCentresBesideStore);
    claims.retain(members.instances());
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
  public OptionalLong keysProvenNanos() {
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
    attestOwnOutage(nowNanos);
    probe(nowNanos);
    gapFill.pull(nowNanos);
    return startRead(nowNanos);
  }

  private void attestOwnOutage(long nowNanos) {
    long head = claims.knownHeadVersion();
    OptionalLong outage = observedOutageNanos(nowNanos);
    if (outage.isPresent()) {
      Attestation own = new Attestation(settings.dataCentre(), head, outage.getAsLong());
      freshness.attested(settings.instance(), own, log.version());
    } else {
      freshness.notAttested(settings.instance());
    }
    if (operatorOutageUntilNanos.isPresent()
        && operatorOutageUntilNanos.getAsLong() - nowNanos > 0) {
      freshness.outageProved(head, nowNanos, log.version());
    }
  }

  private Optional<StoreRead> startRead(long nowNanos) {
    boolean reads = members.isReader() || areReadersSilent(nowNanos);
    if (!reads || nowNanos - nextPollNanos < 0 || !this.reads.mayStart()) {
      return Optional.empty();
    }
    nextPollNanos = nowNanos + jittered(settings.pollIntervalNanos());
    this.reads.started(nowNanos);
    return Optional.of(new StoreRead(nowNanos, log.version()));
  }

  private boolean areReadersSilent(long nowNanos) {
    return lastReaderStatementNanos.isEmpty()
        || nowNanos - lastReaderStatementNanos.getAsLong() > settings.readerSilenceNanos();
  }

  private long jittered(long intervalNanos) {
    return intervalNanos - random.nextLong(intervalNanos / 4 + 1);
  }

  /** Takes the answer to a read of the table. */
  public void storeAnswered(StoreRead read, StoreAnswer answer) {
    reads.answered(read.sentNanos());
    boolean wentBack =
        answer.headVersion() < log.version() && read.sentNanos() - appliedAtNanos > 0;
    if (wentBack) {
      // A table restored from an older copy proves nothing about the keys in force.
      storeReadsBehind++;
      return;
    }
    claims.learnHead(answer.headVersion());
    if (answer.snapshot().isPresent() && log.install(answer.snapshot().get())) {
      whenApplied();
    }
    apply(settings.instance(), answer.changes());
    freshness.tableProved(answer.headVersion(), read.sentNanos(), log.version());
  }

  /** Records that a read of the table failed. */
  public void storeFailed(StoreRead read) {
    reads.failed(read.sentNanos());
  }

  /**
   * Takes a change that an operator's tool has committed and hands over directly.
   *
   * <p>Without this, a change committed just before the store goes down for everyone would be known
   * to no instance until it returns. The change goes to neighbours and to other data centres.
   */
  public void announce(LoggedChange change) {
    claims.learnHead(change.version());
    List<LoggedChange> changes = List.of(change);
    apply(settings.instance(), changes);
    List<String> receivers = new ArrayList<>(members.neighbours());
    receivers.addAll(members.distantReaders(probeRound));
    receivers.addAll(members.distantReaders(probeRound + 1));
    for (String receiver : receivers) {
      sender.send(receiver, new ConfigMessage.Deltas(changes));
    }
  }

  /** Handles a message of another instance. */
  public void receive(String fromInstance, ConfigMessage message) {
    switch (message) {
      case ConfigMessage.HeadProbe probe -> {
        long nowNanos = clock.monotonicNanos();
        answers.answerProbe(fromInstance, probe, observedOutageNanos(nowNanos), nowNanos);
      }
      case ConfigMessage.HeadStatement statement -> learn(fromInstance, statement);
      case ConfigMessage.Deltas deltas -> receiveDeltas(fromInstance, deltas.changes());
      case ConfigMessage.PullDeltas pull -> answers.answerPull(fromInstance, pull.afterVersion());
      case ConfigMessage.PullSnapshot pull -> answers.answerPull(fromInstance, pull);
      case ConfigMessage.SnapshotPart part -> receivePart(fromInstance, part);
    }
  }

  private void probe(long nowNanos) {
    if (nowNanos - nextProbeNanos < 0) {
      return;
    }
    nextProbeNanos = nowNanos + jittered(settings.probeIntervalNanos());
    probeRound++;
    List<String> targets = new ArrayList<>(members.nearReaders());
    int factor = members.isReader() ? 1 : STALE_FACTOR_OF_OTHERS;
    if (freshness.ageNanos(nowNanos) > factor * settings.staleEvidenceNanos()) {
      targets.addAll(members.distantReaders(probeRound));
    }
    long number = probes.next(nowNanos);
    for (String target : targets) {
      sender.send(target, new ConfigMessage.HeadProbe(number, log.version()));
    }
  }

  private OptionalLong observedOutageNanos(long nowNanos) {
    boolean besideStore = freshness.isBesideStore(settings.dataCentre());
    return besideStore ? reads.outageNanos(nowNanos) : OptionalLong.empty();
  }

  private void learn(String fromInstance, ConfigMessage.HeadStatement statement) {
    claims.record(fromInstance, statement.appliedVersion());
    claims.learnHead(statement.headVersion());
    OptionalLong sentNanos = probes.sentNanos(statement.probeNumber());
    if (sentNanos.isPresent()) {
      learnEvidence(fromInstance, statement, sentNanos.getAsLong());
    }
    gapFill.pull(clock.monotonicNanos());
  }

  /** Every age counts from the probe: the answer was written after it, however late it arrives. */
  private void learnEvidence(
      String fromInstance, ConfigMessage.HeadStatement statement, long askedNanos) {
    if (members.isOwnReader(fromInstance)) {
      lastReaderStatementNanos = OptionalLong.of(askedNanos);
    }
    if (statement.headAgeNanos() >= 0) {
      long provenNanos = askedNanos - statement.headAgeNanos();
      freshness.tableProved(statement.appliedVersion(), provenNanos, log.version());
    }
    if (statement.attestedOutageAgeNanos() >= 0) {
      long provenNanos = askedNanos - statement.attestedOutageAgeNanos();
      freshness.outageProved(statement.appliedVersion(), provenNanos, log.version());
    }
    if (statement.observedOutageAgeNanos() < 0) {
      freshness.notAttested(fromInstance);
      return;
    }
    Attestation attestation =
        new Attestation(
            members.dataCentreOf(fromInstance),
            statement.headVersion(),
            askedNanos - statement.observedOutageAgeNanos());
    freshness.attested(fromInstance, attestation, log.version());
  }

  private void receiveDeltas(String fromInstance, List<LoggedChange> changes) {
    if (changes.isEmpty()) {
      return;
    }
    claims.record(fromInstance, changes.getLast().version());
    if (apply(fromInstance, changes) && claims.knownHeadVersion() > log.version()) {
      gapFill.pullFrom(fromInstance);
    }
  }

  private void receivePart(String fromInstance, ConfigMessage.SnapshotPart part) {
    Optional<String> whole = gapFill.receivePart(fromInstance, part);
    if (whole.isPresent() && log.install(whole.get())) {
      whenApplied();
      gapFill.pullFrom(fromInstance);
    }
  }

  private boolean apply(String source, List<LoggedChange> changes) {
    List<LoggedChange> applied = log.apply(changes);
    if (applied.isEmpty()) {
      return false;
    }
    whenApplied();
    push(source, applied);
    return true;
  }

  private void whenApplied() {
    appliedAtNanos = clock.monotonicNanos();
    claims.learnHead(log.version());
    freshness.applied(log.version());
  }

  private void push(String source, List<LoggedChange> applied) {
    int chars = applied.stream().mapToInt(change -> change.text().length()).sum();
    if (!members.isReader() || chars > PeerAnswers.BATCH_CHARS) {
      // Neighbours learn of a long batch by their next probe and pull it piece by piece.
      return;
    }
    ConfigMessage.Deltas deltas = new ConfigMessage.Deltas(applied);
    for (String neighbour : members.neighbours()) {
      if (!neighbour.equals(source)) {
        sender.send(neighbour, deltas);
      }
    }
  }

  /** Returns what this instance knows, for the state dump. */
  public SpreadStatus status() {
    long nowNanos = clock.monotonicNanos();
    long tableAgeNanos = freshness.tableAgeNanos(nowNanos);
    long outageAgeNanos = freshness.outageAgeNanos(nowNanos);
    boolean attestedDown =
        outageAgeNanos >= 0 && (tableAgeNanos < 0 || outageAgeNanos < tableAgeNanos);
    return new SpreadStatus(
        log.version(),
        claims.knownHeadVersion(),
        members.isReader(),
        attestedDown,
        tableAgeNanos,
        log.conflictingTexts(),
        log.unreadableChanges(),
        storeReadsBehind);
  }
}

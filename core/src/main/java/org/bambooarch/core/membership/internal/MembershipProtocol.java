package org.bambooarch.core.membership.internal;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.bambooarch.core.membership.Instance;
import org.bambooarch.core.membership.InstanceAddress;
import org.bambooarch.core.membership.InstanceStatus;
import org.bambooarch.core.membership.ListedInstance;
import org.bambooarch.core.membership.MembershipMessage;
import org.bambooarch.core.membership.MembershipSettings;
import org.bambooarch.core.peer.PeerSender;
import org.bambooarch.core.time.Clock;

/**
 * Detects failed instances by missing heartbeats and gossips status changes, as SWIM does, and
 * accounts for failures of this instance itself first, as Lifeguard does.
 *
 * <p>If a tick of this process is late, that delay does not count as silence of the others. While
 * more than half of the monitored instances are silent, the timeout until an instance counts as
 * dead is {@value #ISOLATION_TIMEOUT_FACTOR} times as long, because this instance is probably cut
 * off itself.
 *
 * <p>Used by the control thread only.
 */
public final class MembershipProtocol {

  private static final int MAX_UPDATES_PER_HEARTBEAT = 40;
  private static final int ISOLATION_TIMEOUT_FACTOR = 3;

  private final InstanceAddress self;
  private final MembershipSettings settings;
  private final Clock clock;
  private final PeerSender sender;
  private final HeartbeatTopology topology;
  private final InstanceTable table = new InstanceTable();

  /** Names that others asked about since the last heartbeats. */
  private final Set<String> queriedNames = new TreeSet<>();

  private long incarnation;
  private boolean leaving;
  private boolean hasTicked;
  private long lastTickNanos;
  private boolean suspectsOwnIsolation;

  /** Creates the protocol of an instance that has just started and knows no other instance. */
  public MembershipProtocol(
      InstanceAddress self,
      long incarnation,
      MembershipSettings settings,
      Clock clock,
      PeerSender sender) {
    this.self = self;
    this.incarnation = incarnation;
    this.settings = settings;
    this.clock = clock;
    this.sender = sender;
    this.topology = new HeartbeatTopology(settings, self);
  }

  /** Updates the status of silent instances and sends heartbeats; once per heartbeat interval. */
  public void tick() {
    long nowNanos = clock.monotonicNanos();
    compensateForOwnDelay(nowNanos);
    Set<MemberState> monitored = topology.monitoredInstances(table);
    updateStatuses(monitored, nowNanos);
    table.removeExpired(nowNanos, settings.forgetTimeoutNanos());
    sendHeartbeats(monitored, nowNanos);
  }

  /** Excludes the time in which this process was paused from the silence of the others. */
  private void compensateForOwnDelay(long nowNanos) {
    long lateNanos = nowNanos - lastTickNanos - settings.heartbeatIntervalNanos();
    if (hasTicked && lateNanos > settings.heartbeatIntervalNanos()) {
      for (MemberState member : table.all()) {
        member.lastEvidenceNanos += lateNanos;
      }
    }
    hasTicked = true;
    lastTickNanos = nowNanos;
  }

  private void updateStatuses(Set<MemberState> monitored, long nowNanos) {
    int silent = 0;
    for (MemberState member : monitored) {
      boolean counts = member.heartbeatReceived && member.status != InstanceStatus.DEAD;
      if (counts && nowNanos - member.lastEvidenceNanos >= settings.suspectTimeoutNanos()) {
        silent++;
      }
    }
    int present =
        (int) monitored.stream().filter(member -> member.status != InstanceStatus.DEAD).count();
    suspectsOwnIsolation = 2 * silent > present;
    long deadTimeoutNanos =
        settings.deadTimeoutNanos() * (suspectsOwnIsolation ? ISOLATION_TIMEOUT_FACTOR : 1);
    for (MemberState member : monitored) {
      updateStatus(member, nowNanos - member.lastEvidenceNanos, deadTimeoutNanos);
    }
  }

  /**
   * Marks an instance as suspect or dead according to its silence. An instance that the platform no
   * longer lists counts as dead after twice the suspect timeout at the latest, unless this instance
   * suspects its own isolation.
   */
  private void updateStatus(MemberState member, long silenceNanos, long deadTimeoutNanos) {
    boolean unlisted = !member.listed && member.heartbeatReceived && !suspectsOwnIsolation;
    long timeoutNanos =
        unlisted
            ? Math.min(deadTimeoutNanos, 2 * settings.suspectTimeoutNanos())
            : deadTimeoutNanos;
    if (silenceNanos >= timeoutNanos) {
      member.changeStatus(InstanceStatus.DEAD, table.transmissionLimit());
    } else if (silenceNanos >= settings.suspectTimeoutNanos()
        && member.status == InstanceStatus.ALIVE) {
      member.changeStatus(InstanceStatus.SUSPECT, table.transmissionLimit());
    }
  }

  private void sendHeartbeats(Set<MemberState> monitored, long nowNanos) {
    List<Instance> updates = new ArrayList<>();
    List<String> suspected = new ArrayList<>();
    for (MemberState member : table.all()) {
      if (member.remainingTransmissions > 0
          && member.incarnation > 0
          && updates.size() < MAX_UPDATES_PER_HEARTBEAT) {
        member.remainingTransmissions--;
        updates.add(member.snapshot());
      }
      if (member.status == InstanceStatus.SUSPECT && monitored.contains(member)) {
        suspected.add(member.address.name());
      }
    }
    MembershipMessage.Heartbeat heartbeat =
        new MembershipMessage.Heartbeat(
            self, incarnation, leaving, updates, suspected, recentlyHeard(nowNanos));
    queriedNames.clear();
    for (MemberState member : monitored) {
      sender.send(member.address.name(), heartbeat);
    }
  }

  private List<String> recentlyHeard(long nowNanos) {
    List<String> heard = new ArrayList<>();
    for (String name : queriedNames) {
      MemberState member = table.get(name);
      boolean recent =
          member != null
              && member.heartbeatReceived
              && nowNanos - member.lastHeartbeatNanos < settings.suspectTimeoutNanos();
      if (recent) {
        heard.add(name);
      }
    }
    return heard;
  }

  /** Processes a heartbeat, which is direct proof that its sender is alive. */
  public void onHeartbeat(MembershipMessage.Heartbeat heartbeat) {
    long nowNanos = clock.monotonicNanos();
    if (!recordHeartbeat(heartbeat, nowNanos)) {
      return;
    }
    queriedNames.addAll(heartbeat.suspected());
    for (String name : heartbeat.heardRecently()) {
      MemberState member = table.get(name);
      if (member != null && member.heartbeatReceived && member.status != InstanceStatus.DEAD) {
        member.lastEvidenceNanos = nowNanos;
        clearSuspicion(member);
      }
    }
    for (Instance instance : heartbeat.updates()) {
      applyUpdate(instance, nowNanos);
    }
  }

  /** Records a heartbeat; returns false if it comes from an earlier run of the sender. */
  private boolean recordHeartbeat(MembershipMessage.Heartbeat heartbeat, long nowNanos) {
    MemberState member = table.get(heartbeat.sender().name());
    if (member == null) {
      member =
          table.add(heartbeat.sender(), heartbeat.incarnation(), InstanceStatus.ALIVE, nowNanos);
    }
    if (heartbeat.incarnation() < member.incarnation) {
      return false;
    }
    if (heartbeat.incarnation() > member.incarnation) {
      member.incarnation = heartbeat.incarnation();
      member.address = heartbeat.sender();
      member.status = InstanceStatus.ALIVE;
      member.remainingTransmissions = table.transmissionLimit();
    }
    member.heartbeatReceived = true;
    member.lastEvidenceNanos = nowNanos;
    member.lastHeartbeatNanos = nowNanos;
    boolean stops = heartbeat.leaving() || member.status == InstanceStatus.LEAVING;
    member.changeStatus(
        stops ? InstanceStatus.LEAVING : InstanceStatus.ALIVE, table.transmissionLimit());
    return true;
  }

  private void clearSuspicion(MemberState member) {
    if (member.status == InstanceStatus.SUSPECT) {
      member.changeStatus(InstanceStatus.ALIVE, table.transmissionLimit());
    }
  }

  /**
   * Applies a status change that another instance reported. A report with a higher incarnation
   * always applies. For the same incarnation, reports that an instance is suspect or dead are
   * ignored while it sends heartbeats to this instance.
   */
  private void applyUpdate(Instance update, long nowNanos) {
    if (update.address().name().equals(self.name())) {
      refute(update);
      return;
    }
    MemberState member = table.get(update.address().name());
    if (member == null) {
      if (update.status() != InstanceStatus.DEAD) {
        table.add(update.address(), update.incarnation(), update.status(), nowNanos);
      }
      return;
    }
    if (update.incarnation() > member.incarnation) {
      member.incarnation = update.incarnation();
      member.address = update.address();
      member.lastEvidenceNanos = nowNanos;
      member.changeStatus(update.status(), table.transmissionLimit());
      return;
    }
    boolean heardDirectly =
        member.heartbeatReceived
            && nowNanos - member.lastHeartbeatNanos < settings.suspectTimeoutNanos();
    boolean later =
        update.incarnation() == member.incarnation && update.status().compareTo(member.status) > 0;
    boolean reportsFailure = update.status() != InstanceStatus.LEAVING;
    if (later && !(reportsFailure && heardDirectly)) {
      member.changeStatus(update.status(), table.transmissionLimit());
    }
  }

  /**
   * Moves to a higher incarnation if another instance reports this run as suspect or dead, so that
   * the report no longer applies to it.
   */
  private void refute(Instance update) {
    boolean reportsFailure =
        update.status() == InstanceStatus.SUSPECT || update.status() == InstanceStatus.DEAD;
    if (reportsFailure && update.incarnation() >= incarnation) {
      incarnation = update.incarnation() + 1;
    }
  }

  /**
   * Processes the platform's list. It only names instances to contact: an instance that is known
   * from the list alone is suspect until it is heard from.
   */
  public void onPlatformList(List<ListedInstance> list) {
    long nowNanos = clock.monotonicNanos();
    Set<String> names = new HashSet<>();
    for (ListedInstance listed : list) {
      String name = listed.address().name();
      if (name.equals(self.name())) {
        continue;
      }
      names.add(name);
      MemberState member = table.get(name);
      if (member == null) {
        member = table.add(listed.address(), 0, InstanceStatus.SUSPECT, nowNanos);
      }
      boolean moved = !member.address.equals(listed.address());
      if (moved && !member.isUp()) {
        member.address = listed.address();
      }
      if (listed.leaving() && member.isUp()) {
        member.changeStatus(InstanceStatus.LEAVING, table.transmissionLimit());
      }
    }
    for (MemberState member : table.all()) {
      member.listed = names.contains(member.address.name());
    }
  }

  /** Makes all further heartbeats announce that this instance is stopping. */
  public void leave() {
    leaving = true;
  }

  /** Returns all other instances, ordered by name. */
  public List<Instance> snapshot() {
    return List.copyOf(table.snapshot());
  }

  /** Returns whether more than half of the monitored instances are silent. */
  public boolean suspectsOwnIsolation() {
    return suspectsOwnIsolation;
  }
}

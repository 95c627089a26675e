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
 * Judges instances by their silence, as SWIM does, and doubts itself first, as Lifeguard does.
 *
 * <p>A late tick of this process excuses everybody for that time. While more than half of the
 * watched instances are silent, the time until a verdict is several times as long.
 */
public final class MembershipSystem {

  private static final int NEWS_LIMIT = 40;
  private static final int ISOLATION_PATIENCE = 3;

  private final InstanceAddress self;
  private final MembershipSettings settings;
  private final Clock clock;
  private final PeerSender sender;
  private final WatchPlan plan;
  private final InstanceTable table = new InstanceTable();
  private final Set<String> asked = new TreeSet<>();
  private long incarnation;
  private boolean leaving;
  private boolean ticked;
  private long tickedNanos;
  private boolean suspectsItself;

  /** Creates the system of an instance that just started. */
  public MembershipSystem(
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
    this.plan = new WatchPlan(settings, self);
  }

  /** Runs once per heartbeat interval. */
  public void tick() {
    long nowNanos = clock.monotonicNanos();
    excuseOwnDelay(nowNanos);
    Set<Entry> watched = plan.watched(table);
    judge(watched, nowNanos);
    table.removeForgotten(nowNanos, settings.forgetNanos());
    sendHeartbeats(watched, nowNanos);
  }

  /** Blames nobody for the time in which this process itself stood still. */
  private void excuseOwnDelay(long nowNanos) {
    long lateNanos = nowNanos - tickedNanos - settings.intervalNanos();
    if (ticked && lateNanos > settings.intervalNanos()) {
      for (Entry entry : table.all()) {
        entry.evidenceNanos += lateNanos;
      }
    }
    ticked = true;
    tickedNanos = nowNanos;
  }

  private void judge(Set<Entry> watched, long nowNanos) {
    int silent = 0;
    for (Entry entry : watched) {
      boolean counts = entry.everHeard && entry.status != InstanceStatus.DEAD;
      if (counts && nowNanos - entry.evidenceNanos >= settings.suspectNanos()) {
        silent++;
      }
    }
    int present = (int) watched.stream().filter(e -> e.status != InstanceStatus.DEAD).count();
    suspectsItself = 2 * silent > present;
    long deadNanos = settings.deadNanos() * (suspectsItself ? ISOLATION_PATIENCE : 1);
    for (Entry entry : watched) {
      judge(entry, nowNanos - entry.evidenceNanos, deadNanos);
    }
  }

  private void judge(Entry entry, long silenceNanos, long deadNanos) {
    boolean unlisted = !entry.listed && entry.everHeard && !suspectsItself;
    long verdictNanos = unlisted ? Math.min(deadNanos, 2 * settings.suspectNanos()) : deadNanos;
    if (silenceNanos >= verdictNanos) {
      entry.become(InstanceStatus.DEAD, table.newTellings());
    } else if (silenceNanos >= settings.suspectNanos() && entry.status == InstanceStatus.ALIVE) {
      entry.become(InstanceStatus.SUSPECT, table.newTellings());
    }
  }

  private void sendHeartbeats(Set<Entry> watched, long nowNanos) {
    List<Instance> news = new ArrayList<>();
    List<String> suspected = new ArrayList<>();
    for (Entry entry : table.all()) {
      if (entry.tellings > 0 && entry.incarnation > 0 && news.size() < NEWS_LIMIT) {
        entry.tellings--;
        news.add(entry.snapshot());
      }
      if (entry.status == InstanceStatus.SUSPECT && watched.contains(entry)) {
        suspected.add(entry.address.name());
      }
    }
    MembershipMessage.Heartbeat heartbeat =
        new MembershipMessage.Heartbeat(
            self, incarnation, leaving, news, suspected, heardOf(nowNanos));
    asked.clear();
    for (Entry entry : watched) {
      sender.send(entry.address.name(), heartbeat);
    }
  }

  private List<String> heardOf(long nowNanos) {
    List<String> heard = new ArrayList<>();
    for (String name : asked) {
      Entry entry = table.get(name);
      boolean recent =
          entry != null
              && entry.everHeard
              && nowNanos - entry.directNanos < settings.suspectNanos();
      if (recent) {
        heard.add(name);
      }
    }
    return heard;
  }

  /** Takes in a heartbeat: the best evidence there is. */
  public void onHeartbeat(MembershipMessage.Heartbeat heartbeat) {
    long nowNanos = clock.monotonicNanos();
    if (!hear(heartbeat, nowNanos)) {
      return;
    }
    asked.addAll(heartbeat.suspected());
    for (String name : heartbeat.heard()) {
      Entry entry = table.get(name);
      if (entry != null && entry.everHeard && entry.status != InstanceStatus.DEAD) {
        entry.evidenceNanos = nowNanos;
        revive(entry);
      }
    }
    for (Instance instance : heartbeat.news()) {
      takeNews(instance, nowNanos);
    }
  }

  private boolean hear(MembershipMessage.Heartbeat heartbeat, long nowNanos) {
    Entry entry = table.get(heartbeat.sender().name());
    if (entry == null) {
      entry =
          table.add(heartbeat.sender(), heartbeat.incarnation(), InstanceStatus.ALIVE, nowNanos);
    }
    if (heartbeat.incarnation() < entry.incarnation) {
      return false;
    }
    if (heartbeat.incarnation() > entry.incarnation) {
      entry.incarnation = heartbeat.incarnation();
      entry.address = heartbeat.sender();
      entry.status = InstanceStatus.ALIVE;
      entry.tellings = table.newTellings();
    }
    entry.everHeard = true;
    entry.evidenceNanos = nowNanos;
    entry.directNanos = nowNanos;
    boolean stops = heartbeat.leaving() || entry.status == InstanceStatus.LEAVING;
    entry.become(stops ? InstanceStatus.LEAVING : InstanceStatus.ALIVE, table.newTellings());
    return true;
  }

  private void revive(Entry entry) {
    if (entry.status == InstanceStatus.SUSPECT) {
      entry.become(InstanceStatus.ALIVE, table.newTellings());
    }
  }

  /** Takes in second-hand news, which never outweighs what this instance hears itself. */
  private void takeNews(Instance news, long nowNanos) {
    if (news.address().name().equals(self.name())) {
      refute(news);
      return;
    }
    Entry entry = table.get(news.address().name());
    if (entry == null) {
      if (news.status() != InstanceStatus.DEAD) {
        table.add(news.address(), news.incarnation(), news.status(), nowNanos);
      }
      return;
    }
    if (news.incarnation() > entry.incarnation) {
      entry.incarnation = news.incarnation();
      entry.address = news.address();
      entry.evidenceNanos = nowNanos;
      entry.become(news.status(), table.newTellings());
      return;
    }
    boolean heardMyself = entry.everHeard && nowNanos - entry.directNanos < settings.suspectNanos();
    boolean later =
        news.incarnation() == entry.incarnation && news.status().compareTo(entry.status) > 0;
    boolean bad = news.status() != InstanceStatus.LEAVING;
    if (later && !(bad && heardMyself)) {
      entry.become(news.status(), table.newTellings());
    }
  }

  /** Starts a higher incarnation when others speak ill of this run. */
  private void refute(Instance news) {
    boolean wrong = news.status() == InstanceStatus.SUSPECT || news.status() == InstanceStatus.DEAD;
    if (wrong && news.incarnation() >= incarnation) {
      incarnation = news.incarnation() + 1;
    }
  }

  /** Takes in the platform's list: a hint whom to ask, never a proof. */
  public void onPlatformList(List<ListedInstance> list) {
    long nowNanos = clock.monotonicNanos();
    Set<String> names = new HashSet<>();
    for (ListedInstance line : list) {
      String name = line.address().name();
      if (name.equals(self.name())) {
        continue;
      }
      names.add(name);
      Entry entry = table.get(name);
      if (entry == null) {
        entry = table.add(line.address(), 0, InstanceStatus.SUSPECT, nowNanos);
      }
      boolean moved = !entry.address.equals(line.address());
      if (moved && !entry.isUp()) {
        entry.address = line.address();
      }
      if (line.leaving() && entry.isUp()) {
        entry.become(InstanceStatus.LEAVING, table.newTellings());
      }
    }
    for (Entry entry : table.all()) {
      entry.listed = names.contains(entry.address.name());
    }
  }

  /** Announces that this instance stops. */
  public void leave() {
    leaving = true;
  }

  /** Returns all other instances, ordered by name. */
  public List<Instance> snapshot() {
    return List.copyOf(table.snapshot());
  }

  /** Returns whether more than half of the watched instances are silent. */
  public boolean suspectsItself() {
    return suspectsItself;
  }
}

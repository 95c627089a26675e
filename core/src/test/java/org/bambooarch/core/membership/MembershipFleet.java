package org.bambooarch.core.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.bambooarch.core.peer.PeerMessage;
import org.bambooarch.core.time.ManualClock;

/** Several memberships joined by a queue of messages; silent instances neither run nor hear. */
final class MembershipFleet {

  private record Sent(String from, String to, PeerMessage message) {}

  private final ManualClock clock = ManualClock.startingAtZero();
  private final Map<String, Membership> members = new TreeMap<>();
  private final List<ListedInstance> list = new ArrayList<>();
  private final ArrayDeque<Sent> queue = new ArrayDeque<>();
  private final Set<String> silent = new HashSet<>();
  private final Set<String> cutPairs = new HashSet<>();
  long messages;

  static MembershipFleet of(int dataCentres, int instancesEach) {
    MembershipFleet fleet = new MembershipFleet();
    for (int dc = 0; dc < dataCentres; dc++) {
      for (int i = 0; i < instancesEach; i++) {
        fleet.start("dc%02d-%03d".formatted(dc, i), "dc%02d".formatted(dc), 1);
      }
    }
    return fleet;
  }

  void start(String name, String dataCentre, long incarnation) {
    InstanceAddress address = new InstanceAddress(name, dataCentre, "127.0.0.1", 1, 2);
    if (!members.containsKey(name)) {
      list.add(new ListedInstance(address, false));
    }
    silent.remove(name);
    members.put(
        name,
        Membership.starting(
            address,
            incarnation,
            MembershipSettings.defaults(),
            clock,
            (to, message) -> queue.add(new Sent(name, to, message))));
  }

  Membership member(String name) {
    return members.get(name);
  }

  void silence(String name) {
    silent.add(name);
  }

  void silenceDataCentre(String dataCentre) {
    members.keySet().stream().filter(name -> name.startsWith(dataCentre)).forEach(silent::add);
  }

  void wake(String name) {
    silent.remove(name);
  }

  void cut(String one, String other) {
    cutPairs.add(one + other);
    cutPairs.add(other + one);
  }

  void shareList() {
    members.values().forEach(member -> member.onPlatformList(list));
  }

  void runSeconds(double seconds) {
    for (int i = 0; i < seconds * 2; i++) {
      clock.advanceMillis(500);
      members.forEach(
          (name, member) -> {
            if (!silent.contains(name)) {
              member.tick();
            }
          });
      deliver();
    }
  }

  private void deliver() {
    while (!queue.isEmpty()) {
      Sent sent = queue.remove();
      messages++;
      boolean lost = silent.contains(sent.to()) || cutPairs.contains(sent.from() + sent.to());
      if (!lost && members.containsKey(sent.to())) {
        members.get(sent.to()).onMessage((MembershipMessage) sent.message());
      }
    }
  }

  InstanceStatus status(String viewer, String name) {
    return member(viewer).snapshot().stream()
        .filter(instance -> instance.address().name().equals(name))
        .findFirst()
        .orElseThrow()
        .status();
  }
}

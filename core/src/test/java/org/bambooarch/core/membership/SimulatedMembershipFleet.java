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

/** Several memberships joined by a queue of messages; paused instances neither run nor hear. */
final class SimulatedMembershipFleet {

  private record QueuedMessage(String from, String to, PeerMessage message) {}

  private final ManualClock clock = ManualClock.startingAtZero();
  private final Map<String, Membership> members = new TreeMap<>();
  private final List<ListedInstance> list = new ArrayList<>();
  private final ArrayDeque<QueuedMessage> queue = new ArrayDeque<>();
  private final Set<String> paused = new HashSet<>();
  private final Set<String> partitionedPairs = new HashSet<>();
  long messages;

  static SimulatedMembershipFleet of(int dataCentres, int instancesEach) {
    SimulatedMembershipFleet fleet = new SimulatedMembershipFleet();
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
    paused.remove(name);
    members.put(
        name,
        Membership.starting(
            address,
            incarnation,
            MembershipSettings.defaults(),
            clock,
            (to, message) -> queue.add(new QueuedMessage(name, to, message))));
  }

  Membership member(String name) {
    return members.get(name);
  }

  void pause(String name) {
    paused.add(name);
  }

  void pauseDataCentre(String dataCentre) {
    members.keySet().stream().filter(name -> name.startsWith(dataCentre)).forEach(paused::add);
  }

  void resume(String name) {
    paused.remove(name);
  }

  void partition(String one, String other) {
    partitionedPairs.add(one + other);
    partitionedPairs.add(other + one);
  }

  void deliverPlatformList() {
    members.values().forEach(member -> member.onPlatformList(list));
  }

  void runSeconds(double seconds) {
    for (int i = 0; i < seconds * 2; i++) {
      clock.advanceMillis(500);
      members.forEach(
          (name, member) -> {
            if (!paused.contains(name)) {
              member.tick();
            }
          });
      deliver();
    }
  }

  private void deliver() {
    while (!queue.isEmpty()) {
      QueuedMessage queued = queue.remove();
      messages++;
      boolean lost =
          paused.contains(queued.to()) || partitionedPairs.contains(queued.from() + queued.to());
      if (!lost && members.containsKey(queued.to())) {
        members.get(queued.to()).onMessage((MembershipMessage) queued.message());
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

package org.bambooarch.core.membership;

import java.util.List;
import org.bambooarch.core.membership.internal.MembershipProtocol;
import org.bambooarch.core.peer.PeerSender;
import org.bambooarch.core.time.Clock;

/**
 * This instance's view of all others.
 *
 * <p>One control thread calls {@link #tick} at every heartbeat interval and hands in messages and
 * the platform's list. Any thread may read {@link #snapshot}.
 *
 * <pre>{@code
 * for (Instance instance : membership.snapshot()) {
 *   if (instance.status() == InstanceStatus.ALIVE) {
 *     offer(instance.address());
 *   }
 * }
 * }</pre>
 */
public final class Membership {

  private final MembershipProtocol protocol;
  private volatile List<Instance> snapshot = List.of();

  private Membership(MembershipProtocol protocol) {
    this.protocol = protocol;
  }

  /**
   * Creates the membership of an instance that just started and knows nobody.
   *
   * @param self where this instance runs
   * @param incarnation number of this run, higher than those of all earlier runs
   * @param settings timing and sizes
   * @param clock source of time
   * @param sender way to the other instances
   */
  public static Membership starting(
      InstanceAddress self,
      long incarnation,
      MembershipSettings settings,
      Clock clock,
      PeerSender sender) {
    return new Membership(new MembershipProtocol(self, incarnation, settings, clock, sender));
  }

  /** Sends heartbeats and judges who is silent; control thread only. */
  public void tick() {
    protocol.tick();
    snapshot = protocol.snapshot();
  }

  /** Takes in a message of another instance; control thread only. */
  public void onMessage(MembershipMessage message) {
    switch (message) {
      case MembershipMessage.Heartbeat heartbeat -> protocol.onHeartbeat(heartbeat);
    }
    snapshot = protocol.snapshot();
  }

  /** Takes in the platform's list, which may lag both ways; control thread only. */
  public void onPlatformList(List<ListedInstance> list) {
    protocol.onPlatformList(list);
    snapshot = protocol.snapshot();
  }

  /** Tells all others that this instance stops; control thread only. */
  public void leave() {
    protocol.leave();
  }

  /** Returns all other instances, ordered by name; safe on any thread. */
  public List<Instance> snapshot() {
    return snapshot;
  }

  /** Returns whether most of the watched instances are silent, so that this one may be cut off. */
  public boolean suspectsOwnIsolation() {
    return protocol.suspectsOwnIsolation();
  }
}

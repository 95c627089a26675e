package org.bambooarch.core.membership;

import java.util.List;
import org.bambooarch.core.membership.internal.MembershipProtocol;
import org.bambooarch.core.peer.PeerSender;
import org.bambooarch.core.time.Clock;

/**
 * The liveness of all other instances, as this instance sees it.
 *
 * <p>A single control thread calls {@link #tick} once per heartbeat interval and passes in received
 * messages and the platform's list. Any thread may read {@link #snapshot}.
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
   * Creates the membership of an instance that has just started and knows no other instance.
   *
   * @param self network address of this instance
   * @param incarnation number of this run, higher than those of all earlier runs
   * @param settings timeouts and limits
   * @param clock source of time
   * @param sender sends messages to the other instances
   */
  public static Membership starting(
      InstanceAddress self,
      long incarnation,
      MembershipSettings settings,
      Clock clock,
      PeerSender sender) {
    return new Membership(new MembershipProtocol(self, incarnation, settings, clock, sender));
  }

  /**
   * Updates the status of silent instances and sends heartbeats.
   *
   * <p>Control thread only, once per heartbeat interval.
   */
  public void tick() {
    protocol.tick();
    snapshot = protocol.snapshot();
  }

  /** Processes a message from another instance; control thread only. */
  public void onMessage(MembershipMessage message) {
    switch (message) {
      case MembershipMessage.Heartbeat heartbeat -> protocol.onHeartbeat(heartbeat);
    }
    snapshot = protocol.snapshot();
  }

  /**
   * Processes the platform's list, which may still name stopped instances and not yet name new
   * ones; control thread only.
   */
  public void onPlatformList(List<ListedInstance> list) {
    protocol.onPlatformList(list);
    snapshot = protocol.snapshot();
  }

  /** Announces in all further heartbeats that this instance is stopping; control thread only. */
  public void leave() {
    protocol.leave();
  }

  /** Returns all other instances, ordered by name; safe on any thread. */
  public List<Instance> snapshot() {
    return snapshot;
  }

  /**
   * Returns whether more than half of the monitored instances are silent, in which case this
   * instance is probably cut off itself; control thread only.
   */
  public boolean suspectsOwnIsolation() {
    return protocol.suspectsOwnIsolation();
  }
}

package org.bambooarch.core.membership;

import java.util.List;
import org.bambooarch.core.peer.PeerMessage;

/** A membership message between two instances; it may be lost or delivered more than once. */
public sealed interface MembershipMessage extends PeerMessage {

  /**
   * Proves that the sender is alive, and carries its status changes and queries (gossip).
   *
   * @param sender the sender's address, so that a receiver that does not know the sender can answer
   * @param incarnation number of the sender's run, higher for each later run
   * @param leaving whether the sender is stopping
   * @param updates recent status changes of other instances
   * @param suspected names of instances that the sender suspects and asks the receiver about
   * @param heardRecently names of instances that the sender was asked about, and that have sent it
   *     heartbeats recently
   */
  record Heartbeat(
      InstanceAddress sender,
      long incarnation,
      boolean leaving,
      List<Instance> updates,
      List<String> suspected,
      List<String> heardRecently)
      implements MembershipMessage {

    /** Copies the lists, so that later changes to them do not show here. */
    public Heartbeat {
      updates = List.copyOf(updates);
      suspected = List.copyOf(suspected);
      heardRecently = List.copyOf(heardRecently);
    }
  }
}

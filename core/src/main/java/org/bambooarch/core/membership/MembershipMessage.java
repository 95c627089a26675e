package org.bambooarch.core.membership;

import java.util.List;
import org.bambooarch.core.peer.PeerMessage;

/** A message between the memberships of two instances; any of them may be lost or repeated. */
public sealed interface MembershipMessage extends PeerMessage {

  /**
   * Shows that the sender lives, and passes on what it knows.
   *
   * @param sender the sender's address, so that a receiver can answer a stranger
   * @param incarnation number of the sender's run
   * @param leaving whether the sender stops
   * @param updates recent changes of other instances
   * @param suspected names that the sender has not heardRecently from and asks about
   * @param heardRecently names among those asked about that the sender does hear from
   */
  record Heartbeat(
      InstanceAddress sender,
      long incarnation,
      boolean leaving,
      List<Instance> updates,
      List<String> suspected,
      List<String> heardRecently)
      implements MembershipMessage {

    /** Copies the lists. */
    public Heartbeat {
      updates = List.copyOf(updates);
      suspected = List.copyOf(suspected);
      heardRecently = List.copyOf(heardRecently);
    }
  }
}

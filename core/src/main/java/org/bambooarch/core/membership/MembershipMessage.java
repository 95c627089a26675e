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
   * @param news recent changes of other instances
   * @param suspected names that the sender has not heard from and asks about
   * @param heard names among those asked about that the sender does hear from
   */
  record Heartbeat(
      InstanceAddress sender,
      long incarnation,
      boolean leaving,
      List<Instance> news,
      List<String> suspected,
      List<String> heard)
      implements MembershipMessage {

    /** Copies the lists. */
    public Heartbeat {
      news = List.copyOf(news);
      suspected = List.copyOf(suspected);
      heard = List.copyOf(heard);
    }
  }
}

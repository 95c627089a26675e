package org.bambooarch.core.budget;

import java.util.List;

/**
 * The state of an instance's budgets at one moment.
 *
 * @param self this run of the instance
 * @param epoch number of the known share epoch, zero if none
 * @param usableForNanos how long the shares stay usable without another confirmation
 * @param shares the shares of all configured resources
 * @param peers the other members
 */
public record BudgetDump(
    MemberId self, long epoch, long usableForNanos, List<Share> shares, List<PeerState> peers) {

  /**
   * One share.
   *
   * @param resource name of the resource
   * @param held parts of the whole resource that are held
   * @param demandQuantaPerSecond quanta per second asked of this instance
   * @param availableQuanta whole quanta that can be admitted at once
   */
  public record Share(
      String resource, ShareAmount held, double demandQuantaPerSecond, long availableQuanta) {}

  /**
   * One other member.
   *
   * @param id the member
   * @param silentNanos time since its last message
   * @param knownEpoch latest epoch that it is known to know
   * @param leaving whether it gives its shares away
   */
  public record PeerState(MemberId id, long silentNanos, long knownEpoch, boolean leaving) {}

  /** Copies the lists. */
  public BudgetDump {
    shares = List.copyOf(shares);
    peers = List.copyOf(peers);
  }
}

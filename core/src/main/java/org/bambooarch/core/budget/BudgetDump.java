package org.bambooarch.core.budget;

import java.util.List;

/**
 * A snapshot of an instance's budgets.
 *
 * @param self identity of the current run of the instance
 * @param epoch number of the known share epoch, zero if none
 * @param usableForNanos remaining time of the lease: how long the shares stay usable without
 *     another renewal; zero without a valid lease
 * @param shares the shares of all configured resources
 * @param peers the other members of the epoch
 */
public record BudgetDump(
    MemberId self, long epoch, long usableForNanos, List<Share> shares, List<PeerState> peers) {

  /**
   * This instance's share of one resource.
   *
   * @param resource name of the resource
   * @param held amount of the resource that this instance holds
   * @param demandQuantaPerSecond demand at this instance, in quanta per second
   * @param availableQuanta whole quanta that can be admitted at once; zero while the limits of the
   *     resource are unknown
   */
  public record Share(
      String resource, ShareAmount held, double demandQuantaPerSecond, long availableQuanta) {}

  /**
   * Another member, as this instance knows it.
   *
   * @param id the member
   * @param silentNanos time since its last report was received; counted anew when this process
   *     resumes after a pause
   * @param knownEpoch number of the latest epoch that it is known to have received
   * @param leaving whether it gives its shares away because it stops
   */
  public record PeerState(MemberId id, long silentNanos, long knownEpoch, boolean leaving) {}

  /** Makes unmodifiable copies of the lists. */
  public BudgetDump {
    shares = List.copyOf(shares);
    peers = List.copyOf(peers);
  }
}

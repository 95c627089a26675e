package org.bambooarch.core.budget;

import java.util.List;
import java.util.Map;
import org.bambooarch.core.peer.PeerMessage;

/** A message between the budgets of two instances. Any message may be lost or repeated. */
public sealed interface BudgetMessage extends PeerMessage {

  /** Returns the sender, which is one run of an instance. */
  MemberId from();

  /** Returns the receiver; other runs of the same instance ignore the message. */
  MemberId to();

  /**
   * The regular report: running totals of the shares moved to the receiver, and a renewal of the
   * receiver's lease.
   *
   * @param from sending member
   * @param to receiving member
   * @param epoch number of the share epoch that the sender knows
   * @param stampNanos the sender's monotonic time when it sent the report
   * @param echoNanos the latest stamp that the sender got from the receiver; meaningless unless
   *     {@code echoed}
   * @param echoed whether the sender has got any stamp from the receiver yet
   * @param renewsLease whether the sender renews the receiver's lease as of the echoed stamp, at
   *     which the receiver was alive; the lease needs renewals of more than half of the members
   * @param anyLedgerClosed whether the sender has closed its ledger with some member of this epoch
   * @param leaving whether the sender gives its shares away because it stops
   * @param ledgerClosed whether the sender has closed its ledger with the receiver, so that the
   *     report only shows that the sender is alive
   * @param entries resources whose state the receiver has not acknowledged yet
   */
  record ShareReport(
      MemberId from,
      MemberId to,
      long epoch,
      long stampNanos,
      long echoNanos,
      boolean echoed,
      boolean renewsLease,
      boolean anyLedgerClosed,
      boolean leaving,
      boolean ledgerClosed,
      List<ShareEntry> entries)
      implements BudgetMessage {}

  /**
   * Asks to stop renewing the leases of dead members and to report the totals exchanged with them.
   *
   * @param from coordinator of the reclaim
   * @param to receiving member
   * @param epoch epoch that the proposal would replace
   * @param proposal unique identifier of the proposal
   * @param dead members whose shares are to be reclaimed
   */
  record CloseLedger(MemberId from, MemberId to, long epoch, String proposal, List<MemberId> dead)
      implements BudgetMessage {}

  /**
   * Reports the final totals exchanged with the dead members, and promises not to renew their
   * leases.
   *
   * @param from reporting member
   * @param to coordinator of the reclaim
   * @param epoch epoch of the proposal
   * @param proposal identifier of the proposal
   * @param balances units sent to the dead members less units received from them
   * @param knownEpochs number of the latest epoch that each dead member is known to have received
   */
  record LedgerClosed(
      MemberId from,
      MemberId to,
      long epoch,
      String proposal,
      List<ShareBalance> balances,
      Map<MemberId, Long> knownEpochs)
      implements BudgetMessage {}

  /**
   * Sends the current share epoch to a member that knows an older one.
   *
   * @param from sending member
   * @param to receiving member
   * @param epoch the epoch as stored in the table
   */
  record EpochNotice(MemberId from, MemberId to, ShareEpoch epoch) implements BudgetMessage {}
}

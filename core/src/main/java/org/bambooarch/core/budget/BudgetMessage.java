package org.bambooarch.core.budget;

import java.util.List;
import java.util.Map;
import org.bambooarch.core.peer.PeerMessage;

/** A message between the budgets of two instances; any of them may be lost or repeated. */
public sealed interface BudgetMessage extends PeerMessage {

  /** Returns the sending member. */
  MemberId from();

  /** Returns the member that the message is meant for; other runs of it ignore the message. */
  MemberId to();

  /**
   * The regular report: running totals of moved shares, and a vouch for the receiver.
   *
   * @param from sending member
   * @param to receiving member
   * @param epoch number of the share epoch that the sender knows
   * @param stampNanos the sender's monotonic time
   * @param echoNanos the latest stamp received from the receiver
   * @param echoed whether any stamp was received yet
   * @param renewsLease whether the sender vouches that the receiver was alive at the echoed stamp
   * @param anyLedgerClosed whether the sender has closed its ledger with some member of this epoch
   * @param leaving whether the sender gives its shares away because it stops
   * @param ledgerClosed whether the sender has closed its ledger with the receiver, so that the
   *     report shows that the sender lives and nothing else
   * @param entries resources that changed since the receiver last acknowledged
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
   * Asks to stop vouching for dead members and to report the totals exchanged with them.
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
   * Reports final totals against the dead members, and promises not to vouch for them.
   *
   * @param from reporting member
   * @param to coordinator of the reclaim
   * @param epoch epoch of the proposal
   * @param proposal identifier of the proposal
   * @param balances units sent to the dead members less units received from them
   * @param knownEpochs the latest epoch that each dead member is known to have heard of
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
   * Passes on the current share epoch to a member that knows an older one.
   *
   * @param from sending member
   * @param to receiving member
   * @param epoch the epoch as stored in the table
   */
  record EpochNotice(MemberId from, MemberId to, ShareEpoch epoch) implements BudgetMessage {}
}

package org.bambooarch.core.budget.internal;

import java.util.Map;
import java.util.TreeMap;
import org.bambooarch.core.budget.BudgetDump;
import org.bambooarch.core.budget.MemberId;

/**
 * What this instance knows of one other member, and the ledgers with it.
 *
 * <p>Stamps are monotonic times of the instance that sent them; all other times are of this
 * instance. A time without its flag set is meaningless. Control thread only.
 */
public final class BudgetPeer {

  final MemberId id;
  final Map<String, TransferLedger> ledgers = new TreeMap<>();

  /**
   * Arrival of its last report, or the later time at which it became a peer or this process resumed
   * after a pause.
   */
  long lastHeardNanos;

  /** Number of the latest epoch that it is known to have received. */
  long knownEpoch;

  /** Whether a stamp of the peer was received. */
  boolean hasStamp;

  /** Latest stamp of the peer, which reports to it echo. */
  long latestStampNanos;

  /** Whether the peer has echoed a stamp of this instance. */
  boolean hasAcknowledgement;

  /** Latest stamp of this instance that the peer has echoed. */
  long acknowledgedNanos;

  /** Whether a report was sent to the peer. */
  boolean hasReported;

  /** When the last report was sent to the peer. */
  long reportedNanos;

  /** Whether the peer has renewed this instance's lease. */
  boolean hasLeaseRenewal;

  /** Latest stamp of this instance as of which the peer has renewed its lease. */
  long leaseRenewalNanos;

  /** Whether the peer has closed its ledger with some member of the epoch. */
  boolean anyLedgerClosed;

  /** Whether the peer gives its shares away because it stops. */
  boolean leaving;

  /** Number of the epoch that the peer was last notified of, zero if none. */
  long notifiedEpoch;

  /** When the peer was last notified of an epoch. */
  long notifiedNanos;

  BudgetPeer(MemberId id, long nowNanos, long joinedEpoch) {
    this.id = id;
    this.lastHeardNanos = nowNanos;
    this.knownEpoch = joinedEpoch;
  }

  TransferLedger ledger(String resource) {
    return ledgers.computeIfAbsent(resource, name -> new TransferLedger());
  }

  void stampReceived(long stampNanos) {
    if (!hasStamp || stampNanos - latestStampNanos > 0) {
      latestStampNanos = stampNanos;
      hasStamp = true;
    }
  }

  void acknowledged(long stampNanos) {
    if (!hasAcknowledgement || stampNanos - acknowledgedNanos > 0) {
      acknowledgedNanos = stampNanos;
      hasAcknowledgement = true;
    }
    for (TransferLedger ledger : ledgers.values()) {
      ledger.acknowledge(stampNanos);
    }
  }

  void leaseRenewed(long stampNanos) {
    if (!hasLeaseRenewal || stampNanos - leaseRenewalNanos > 0) {
      leaseRenewalNanos = stampNanos;
      hasLeaseRenewal = true;
    }
  }

  /** Returns the entry of this peer in a {@link BudgetDump}. */
  public BudgetDump.PeerState toPeerState(long nowNanos) {
    return new BudgetDump.PeerState(id, nowNanos - lastHeardNanos, knownEpoch, leaving);
  }
}

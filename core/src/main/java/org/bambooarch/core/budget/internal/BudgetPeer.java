package org.bambooarch.core.budget.internal;

import java.util.Map;
import java.util.TreeMap;
import org.bambooarch.core.budget.BudgetDump;
import org.bambooarch.core.budget.MemberId;

/** What this instance knows of one other member. */
public final class BudgetPeer {

  final MemberId id;
  final Map<String, TransferLedger> ledgers = new TreeMap<>();
  long lastHeardNanos;
  long knownEpoch;
  boolean hasStamp;
  long latestStampNanos;
  boolean hasAcknowledgement;
  long acknowledgedNanos;
  boolean hasReported;
  long reportedNanos;
  boolean hasLeaseRenewal;
  long leaseRenewalNanos;
  boolean anyLedgerClosed;
  boolean leaving;
  long notifiedEpoch;
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

  /** Returns the state for a dump. */
  public BudgetDump.PeerState dump(long nowNanos) {
    return new BudgetDump.PeerState(id, nowNanos - lastHeardNanos, knownEpoch, leaving);
  }
}

package org.bambooarch.core.budget.internal;

import java.util.Map;
import java.util.TreeMap;
import org.bambooarch.core.budget.BudgetDump;
import org.bambooarch.core.budget.MemberId;

/** What this instance knows of one other member. */
public final class BudgetPeer {

  final MemberId id;
  final Map<String, TransferLedger> ledgers = new TreeMap<>();
  long heardNanos;
  long knownEpoch;
  boolean anyStamp;
  long latestStampNanos;
  boolean anyAcknowledged;
  long acknowledgedNanos;
  boolean anyReported;
  long reportedNanos;
  boolean hasLeaseRenewal;
  long leaseRenewalNanos;
  boolean frozen;
  boolean leaving;
  long noticedEpoch;
  long noticedNanos;

  BudgetPeer(MemberId id, long nowNanos, long joinedEpoch) {
    this.id = id;
    this.heardNanos = nowNanos;
    this.knownEpoch = joinedEpoch;
  }

  TransferLedger ledger(String resource) {
    return ledgers.computeIfAbsent(resource, name -> new TransferLedger());
  }

  void stampReceived(long stampNanos) {
    if (!anyStamp || stampNanos - latestStampNanos > 0) {
      latestStampNanos = stampNanos;
      anyStamp = true;
    }
  }

  void acknowledged(long stampNanos) {
    if (!anyAcknowledged || stampNanos - acknowledgedNanos > 0) {
      acknowledgedNanos = stampNanos;
      anyAcknowledged = true;
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
    return new BudgetDump.PeerState(id, nowNanos - heardNanos, knownEpoch, leaving);
  }
}

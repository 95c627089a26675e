package org.bambooarch.core.config.internal;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.bambooarch.core.config.ReplicationSettings;
import org.bambooarch.core.config.internal.OutageAttestations.Attestation;

/**
 * Since when this instance is sure that no newer version was accepted, by proof of the table or by
 * the word of instances beside the store that it is down for everyone.
 */
public final class FreshnessTracker {

  private final ReplicationSettings settings;
  private final HeadConfirmationTracker tableConfirmation = new HeadConfirmationTracker();
  private final HeadConfirmationTracker outageConfirmation = new HeadConfirmationTracker();
  private final OutageAttestations attestations;

  /** Creates the evidence of a process that has just started: none. */
  public FreshnessTracker(ReplicationSettings settings) {
    this.settings = settings;
    this.attestations = new OutageAttestations(settings.requiredAttesters());
  }

  /** Sets the data centres of the store's region. */
  public void updateStoreRegionDataCentres(Set<String> dataCentres) {
    attestations.updateStoreRegionDataCentres(dataCentres);
  }

  /** Records a proof by the table that no version above the head was accepted at a moment. */
  public void recordTableConfirmation(long headVersion, long confirmedNanos, long appliedVersion) {
    tableConfirmation.record(headVersion, confirmedNanos, appliedVersion);
  }

  /** Records a conclusion, drawn elsewhere, that the store was down for everyone at a moment. */
  public void recordOutageConfirmation(long headVersion, long confirmedNanos, long appliedVersion) {
    outageConfirmation.record(headVersion, confirmedNanos, appliedVersion);
  }

  /** Records that an instance found the store down, and concludes if enough others did. */
  public void recordAttestation(String instance, Attestation attestation, long appliedVersion) {
    attestations.record(instance, attestation);
    Optional<Attestation> agreedOutage = attestations.agreedOutage();
    if (agreedOutage.isPresent()) {
      long headVersion = agreedOutage.get().headVersion();
      outageConfirmation.record(headVersion, agreedOutage.get().observedNanos(), appliedVersion);
    }
  }

  /** Records that an instance does not find the store down. */
  public void withdrawAttestation(String instance) {
    attestations.withdraw(instance);
  }

  /** Returns whether instances of the data centre may attest an outage. */
  public boolean isInStoreRegion(String dataCentre) {
    return attestations.isInStoreRegion(dataCentre);
  }

  /** Takes proofs that waited for a version that is now in force. */
  public void onVersionApplied(long appliedVersion) {
    tableConfirmation.onVersionApplied(appliedVersion);
    outageConfirmation.onVersionApplied(appliedVersion);
  }

  /** Returns the deadline until which keys may be accepted, if there is any evidence. */
  public OptionalLong keysFreshUntilNanos() {
    OptionalLong tableNanos = tableConfirmation.confirmedNanos();
    OptionalLong outageNanos = outageConfirmation.confirmedNanos();
    if (tableNanos.isEmpty() && outageNanos.isEmpty()) {
      return OptionalLong.empty();
    }
    long latestNanos = tableNanos.orElseGet(outageNanos::getAsLong);
    if (outageNanos.isPresent()) {
      latestNanos = HeadConfirmationTracker.later(latestNanos, outageNanos.getAsLong());
    }
    return OptionalLong.of(latestNanos + settings.keyFreshnessNanos());
  }

  /** Returns the age of the latest evidence of either kind, or the longest age if there is none. */
  public long ageNanos(long nowNanos) {
    OptionalLong until = keysFreshUntilNanos();
    if (until.isEmpty()) {
      return Long.MAX_VALUE;
    }
    return nowNanos - (until.getAsLong() - settings.keyFreshnessNanos());
  }

  /** Returns the age of the last proof by the table, or -1. */
  public long tableConfirmationAgeNanos(long nowNanos) {
    return tableConfirmation.ageNanos(nowNanos);
  }

  /** Returns the age of the last conclusion that the store is down for everyone, or -1. */
  public long outageConfirmationAgeNanos(long nowNanos) {
    return outageConfirmation.ageNanos(nowNanos);
  }
}

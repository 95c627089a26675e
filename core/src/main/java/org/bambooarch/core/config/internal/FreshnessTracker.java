package org.bambooarch.core.config.internal;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.bambooarch.core.config.ReplicationSettings;
import org.bambooarch.core.config.internal.OutageAttestations.Attestation;

/**
 * Tracks the latest time at which the applied version was confirmed to be the newest committed one.
 *
 * <p>A confirmation is given either by a read of the table, or by instances in the store's region
 * which attest that the store is down for everyone, so that nothing can be committed.
 */
public final class FreshnessTracker {

  private final ReplicationSettings settings;
  private final HeadConfirmationTracker tableConfirmation = new HeadConfirmationTracker();
  private final HeadConfirmationTracker outageConfirmation = new HeadConfirmationTracker();
  private final OutageAttestations attestations;

  /** Creates the tracker of a process that has just started, without any confirmation. */
  public FreshnessTracker(ReplicationSettings settings) {
    this.settings = settings;
    this.attestations = new OutageAttestations(settings.requiredAttesters());
  }

  /** Sets the data centres of the store's region. */
  public void updateStoreRegionDataCentres(Set<String> dataCentres) {
    attestations.updateStoreRegionDataCentres(dataCentres);
  }

  /**
   * Records that a read of the table confirmed the head.
   *
   * @param headVersion the newest committed version at that time
   * @param confirmedNanos the time on this instance's monotonic clock
   * @param appliedVersion version that this instance has applied
   */
  public void recordTableConfirmation(long headVersion, long confirmedNanos, long appliedVersion) {
    tableConfirmation.record(headVersion, confirmedNanos, appliedVersion);
  }

  /**
   * Records that the store was down for everyone, as another instance concluded or an operator
   * attested.
   *
   * @param headVersion highest version known to be committed at that time
   * @param confirmedNanos the time on this instance's monotonic clock
   * @param appliedVersion version that this instance has applied
   */
  public void recordOutageConfirmation(long headVersion, long confirmedNanos, long appliedVersion) {
    outageConfirmation.record(headVersion, confirmedNanos, appliedVersion);
  }

  /**
   * Records that an instance observed the store to be down; if enough instances did, also that it
   * is down for everyone.
   */
  public void recordAttestation(String instance, Attestation attestation, long appliedVersion) {
    attestations.record(instance, attestation);
    Optional<Attestation> agreedOutage = attestations.agreedOutage();
    if (agreedOutage.isPresent()) {
      long headVersion = agreedOutage.get().headVersion();
      outageConfirmation.record(headVersion, agreedOutage.get().observedNanos(), appliedVersion);
    }
  }

  /** Records that an instance does not, or no longer, observe the store to be down. */
  public void withdrawAttestation(String instance) {
    attestations.withdraw(instance);
  }

  /** Returns whether a data centre is in the store's region, so that its instances may attest. */
  public boolean isInStoreRegion(String dataCentre) {
    return attestations.isInStoreRegion(dataCentre);
  }

  /** Applies the confirmations that were pending until this version was applied. */
  public void onVersionApplied(long appliedVersion) {
    tableConfirmation.onVersionApplied(appliedVersion);
    outageConfirmation.onVersionApplied(appliedVersion);
  }

  /** Returns the monotonic deadline until which keys may be accepted; empty if unconfirmed. */
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

  /**
   * Returns the age of the latest confirmation of either kind, or {@link Long#MAX_VALUE} if there
   * is none.
   */
  public long ageNanos(long nowNanos) {
    OptionalLong until = keysFreshUntilNanos();
    if (until.isEmpty()) {
      return Long.MAX_VALUE;
    }
    return nowNanos - (until.getAsLong() - settings.keyFreshnessNanos());
  }

  /** Returns the age of the latest confirmation by a read of the table, or -1 if there is none. */
  public long tableConfirmationAgeNanos(long nowNanos) {
    return tableConfirmation.ageNanos(nowNanos);
  }

  /** Returns the age of the latest confirmation that the store is down for everyone, or -1. */
  public long outageConfirmationAgeNanos(long nowNanos) {
    return outageConfirmation.ageNanos(nowNanos);
  }
}

package org.bambooarch.core.config.internal;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.bambooarch.core.config.SpreadSettings;
import org.bambooarch.core.config.internal.OutageAttestations.Attestation;

/**
 * Since when this instance is sure that no newer version was accepted, by proof of the table or by
 * the word of instances beside the store that it is down for everyone.
 */
public final class Freshness {

  private final SpreadSettings settings;
  private final HeadEvidence tableEvidence = new HeadEvidence();
  private final HeadEvidence outageEvidence = new HeadEvidence();
  private final OutageAttestations attestations;

  /** Creates the evidence of a process that has just started: none. */
  public Freshness(SpreadSettings settings) {
    this.settings = settings;
    this.attestations = new OutageAttestations(settings.attestersNeeded());
  }

  /** Sets the data centres of the store's region. */
  public void updateDataCentresBesideStore(Set<String> dataCentres) {
    attestations.updateDataCentresBesideStore(dataCentres);
  }

  /** Records a proof by the table that no version above the head was accepted at a moment. */
  public void tableProved(long headVersion, long provenNanos, long appliedVersion) {
    tableEvidence.record(headVersion, provenNanos, appliedVersion);
  }

  /** Records a conclusion, drawn elsewhere, that the store was down for everyone at a moment. */
  public void outageProved(long headVersion, long provenNanos, long appliedVersion) {
    outageEvidence.record(headVersion, provenNanos, appliedVersion);
  }

  /** Records that an instance found the store down, and concludes if enough others did. */
  public void attested(String instance, Attestation attestation, long appliedVersion) {
    attestations.record(instance, attestation);
    Optional<Attestation> concluded = attestations.concluded();
    if (concluded.isPresent()) {
      long headVersion = concluded.get().headVersion();
      outageEvidence.record(headVersion, concluded.get().momentNanos(), appliedVersion);
    }
  }

  /** Records that an instance does not find the store down. */
  public void notAttested(String instance) {
    attestations.withdraw(instance);
  }

  /** Returns whether instances of the data centre may attest an outage. */
  public boolean isBesideStore(String dataCentre) {
    return attestations.isBesideStore(dataCentre);
  }

  /** Takes proofs that waited for a version that is now in force. */
  public void applied(long appliedVersion) {
    tableEvidence.applied(appliedVersion);
    outageEvidence.applied(appliedVersion);
  }

  /** Returns the deadline until which keys may be accepted, if there is any evidence. */
  public OptionalLong keysFreshUntilNanos() {
    OptionalLong table = tableEvidence.momentNanos();
    OptionalLong outage = outageEvidence.momentNanos();
    if (table.isEmpty() && outage.isEmpty()) {
      return OptionalLong.empty();
    }
    long latest = table.orElseGet(outage::getAsLong);
    if (outage.isPresent()) {
      latest = HeadEvidence.later(latest, outage.getAsLong());
    }
    return OptionalLong.of(latest + settings.keyFreshnessNanos());
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
  public long tableAgeNanos(long nowNanos) {
    return tableEvidence.ageNanos(nowNanos);
  }

  /** Returns the age of the last conclusion that the store is down for everyone, or -1. */
  public long outageAgeNanos(long nowNanos) {
    return outageEvidence.ageNanos(nowNanos);
  }
}

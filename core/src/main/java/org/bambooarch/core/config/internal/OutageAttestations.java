package org.bambooarch.core.config.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Attestations by instances in the store's region that they observe the store to be down.
 *
 * <p>A single instance or data centre may be cut off from the store itself. So the store counts as
 * down for everyone only if enough instances attest it, from at least two data centres if the
 * store's region has two.
 */
public final class OutageAttestations {

  private static final int MIN_DATA_CENTRES = 2;

  /**
   * Observation by one instance that the store is down.
   *
   * @param dataCentre data centre of the instance
   * @param headVersion highest version that the instance knows to be committed
   * @param observedNanos when it observed the outage, on the monotonic clock of this process
   */
  public record Attestation(String dataCentre, long headVersion, long observedNanos) {}

  private final int requiredAttesters;
  private final Map<String, Attestation> attestationsByInstance = new HashMap<>();
  private Set<String> storeRegionDataCentres = Set.of();

  /**
   * Creates an empty set of attestations.
   *
   * @param requiredAttesters number of instances that must agree on an outage
   */
  public OutageAttestations(int requiredAttesters) {
    this.requiredAttesters = requiredAttesters;
  }

  /**
   * Sets the data centres of the store's region, as operators declared them, and drops the
   * attestations from all other data centres.
   */
  public void updateStoreRegionDataCentres(Set<String> dataCentres) {
    storeRegionDataCentres = Set.copyOf(dataCentres);
    attestationsByInstance
        .values()
        .removeIf(attestation -> !storeRegionDataCentres.contains(attestation.dataCentre()));
  }

  /** Returns whether a data centre is in the store's region, so that its instances may attest. */
  public boolean isInStoreRegion(String dataCentre) {
    return storeRegionDataCentres.contains(dataCentre);
  }

  /**
   * Records the latest attestation of an instance; ignored if its data centre is not in the store's
   * region.
   */
  public void record(String instance, Attestation attestation) {
    if (isInStoreRegion(attestation.dataCentre())) {
      attestationsByInstance.put(instance, attestation);
    }
  }

  /** Removes the attestation of an instance that does not, or no longer, observe an outage. */
  public void withdraw(String instance) {
    attestationsByInstance.remove(instance);
  }

  /**
   * Returns the outage on which enough instances agree, taking the latest attestations first, or
   * empty if too few agree. Its time is the earliest of the attestations needed, and its head the
   * highest version that any of those instances knows.
   */
  public Optional<Attestation> agreedOutage() {
    List<Attestation> latestFirst = new ArrayList<>(attestationsByInstance.values());
    latestFirst.sort((a, b) -> Long.signum(b.observedNanos() - a.observedNanos()));
    int requiredDataCentres = Math.min(MIN_DATA_CENTRES, storeRegionDataCentres.size());
    Set<String> dataCentres = new HashSet<>();
    long headVersion = 0;
    int attesters = 0;
    for (Attestation attestation : latestFirst) {
      attesters++;
      dataCentres.add(attestation.dataCentre());
      headVersion = Math.max(headVersion, attestation.headVersion());
      if (attesters >= requiredAttesters && dataCentres.size() >= requiredDataCentres) {
        return Optional.of(
            new Attestation(attestation.dataCentre(), headVersion, attestation.observedNanos()));
      }
    }
    return Optional.empty();
  }
}

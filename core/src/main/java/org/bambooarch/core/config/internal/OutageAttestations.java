package org.bambooarch.core.config.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The words of instances beside the store that they find it down.
 *
 * <p>One instance may be cut off itself, and so may one data centre. The store counts as down for
 * everyone only when enough instances say so, out of at least two data centres if the store's
 * region has two.
 */
public final class OutageAttestations {

  private static final int MIN_DATA_CENTRES = 2;

  /**
   * The word of one instance.
   *
   * @param dataCentre data centre of the instance
   * @param headVersion highest version that the instance knows to be accepted
   * @param observedNanos when it found the store down, on this instance's clock
   */
  public record Attestation(String dataCentre, long headVersion, long observedNanos) {}

  private final int requiredAttesters;
  private final Map<String, Attestation> attestationsByInstance = new HashMap<>();
  private Set<String> storeRegionDataCentres = Set.of();

  /** Creates an empty table. */
  public OutageAttestations(int requiredAttesters) {
    this.requiredAttesters = requiredAttesters;
  }

  /** Sets the data centres of the store's region, as operators declared them. */
  public void updateStoreRegionDataCentres(Set<String> dataCentres) {
    storeRegionDataCentres = Set.copyOf(dataCentres);
    attestationsByInstance
        .values()
        .removeIf(attestation -> !storeRegionDataCentres.contains(attestation.dataCentre()));
  }

  /** Returns whether an instance of the data centre may attest. */
  public boolean isInStoreRegion(String dataCentre) {
    return storeRegionDataCentres.contains(dataCentre);
  }

  /** Records the word of an instance; words from elsewhere are ignored. */
  public void record(String instance, Attestation attestation) {
    if (isInStoreRegion(attestation.dataCentre())) {
      attestationsByInstance.put(instance, attestation);
    }
  }

  /** Removes the word of an instance that reached the store again. */
  public void withdraw(String instance) {
    attestationsByInstance.remove(instance);
  }

  /**
   * Returns the latest moment at which enough instances found the store down together: its head is
   * the highest that any of them knows, its moment the earliest among the latest words needed.
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

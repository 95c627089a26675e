package org.bambooarch.core.config;

/**
 * Limits of the spread of the configuration.
 *
 * @param instance name of this instance
 * @param dataCentre name of its data centre
 * @param readersPerDataCentre instances of each data centre that read the table
 * @param pollIntervalNanos time between two reads of the table by one reader
 * @param probeIntervalNanos time between two probes of a peer
 * @param pullIntervalNanos time between two pulls of missing changes
 * @param readerTimeoutNanos time without a statement of a reader after which an instance reads the
 *     table itself
 * @param staleAfterNanos age of the evidence beyond which other data centres are asked
 * @param readTimeoutNanos time after which a read without an answer counts as failed
 * @param keyFreshnessNanos time for which keys are accepted after the last evidence that the keys
 *     in force are the newest
 * @param requiredAttesters instances beside the store that must find it down together
 */
public record ReplicationSettings(
    String instance,
    String dataCentre,
    int readersPerDataCentre,
    long pollIntervalNanos,
    long probeIntervalNanos,
    long pullIntervalNanos,
    long readerTimeoutNanos,
    long staleAfterNanos,
    long readTimeoutNanos,
    long keyFreshnessNanos,
    int requiredAttesters) {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Returns the usual limits: in force within 3 s, keys refused 10 s after the last evidence. */
  public static ReplicationSettings of(String instance, String dataCentre) {
    return new ReplicationSettings(
        instance,
        dataCentre,
        2,
        500 * NANOS_PER_MILLI,
        1_000 * NANOS_PER_MILLI,
        250 * NANOS_PER_MILLI,
        3_000 * NANOS_PER_MILLI,
        2_000 * NANOS_PER_MILLI,
        3_000 * NANOS_PER_MILLI,
        10_000 * NANOS_PER_MILLI,
        2);
  }
}

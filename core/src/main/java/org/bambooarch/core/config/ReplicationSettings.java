package org.bambooarch.core.config;

/**
 * Intervals, timeouts and limits of the replication of the configuration.
 *
 * @param instance name of this instance
 * @param dataCentre name of its data centre
 * @param readersPerDataCentre instances of each data centre that read the table
 * @param pollIntervalNanos time between two reads of the table by one reader; this and the next two
 *     are shortened at random by up to a quarter each time
 * @param probeIntervalNanos time between two rounds of probes
 * @param pullIntervalNanos time between two pulls of missing changes
 * @param readerTimeoutNanos time without an answer from a reader of its data centre after which an
 *     instance reads the table itself
 * @param staleAfterNanos age of the latest confirmation above which a reader probes other data
 *     centres; three times as long for other instances
 * @param readTimeoutNanos time after which a read of the table without an answer counts as failed
 * @param keyFreshnessNanos time for which keys are accepted after the latest confirmation that the
 *     applied keys are the newest
 * @param requiredAttesters instances in the store's region that must observe it to be down before
 *     it counts as down for everyone
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

  /**
   * Returns the default settings for an instance: changes are applied within 3 s, and keys are
   * refused 10 s after the latest confirmation.
   */
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

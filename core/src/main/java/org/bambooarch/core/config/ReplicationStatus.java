package org.bambooarch.core.config;

/**
 * State of the replication on one instance, for the state dump and the metrics.
 *
 * @param version applied version
 * @param knownHeadVersion highest version known to be committed
 * @param reader whether this instance reads the table for its data centre
 * @param storeAttestedDown whether keys are accepted on the grounds that the store is attested to
 *     be down for everyone, rather than on those of a read of the table
 * @param headAgeNanos age of the latest confirmation by a read of the table, or -1 if there is none
 * @param conflictingTexts number of received changes whose text differs from the one applied for
 *     their version; always 0 unless the store was restored to an earlier state
 * @param unreadableChanges number of failed attempts to read a change or snapshot in a format that
 *     this version of the software does not know
 * @param storeReadsBehind number of reads that returned a head below the applied version, which
 *     happens only if the table was restored from an older backup
 */
public record ReplicationStatus(
    long version,
    long knownHeadVersion,
    boolean reader,
    boolean storeAttestedDown,
    long headAgeNanos,
    long conflictingTexts,
    long unreadableChanges,
    long storeReadsBehind) {}

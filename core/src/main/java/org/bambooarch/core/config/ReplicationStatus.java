package org.bambooarch.core.config;

/**
 * What an instance knows of the configuration, for the state dump and the metrics.
 *
 * @param version version in force
 * @param knownHeadVersion highest version known to be accepted
 * @param reader whether this instance reads the table for its data centre
 * @param storeAttestedDown whether the keys are kept by the word of instances beside the store that
 *     it is down for everyone
 * @param headAgeNanos age of the last proof by the table, or -1
 * @param conflictingTexts changes that came with another text for a version in force; always 0
 *     unless the store went back in time
 * @param unreadableChanges attempts to apply a change that this version cannot read
 * @param storeReadsBehind answers of the table with a head below the version in force, which happen
 *     only when the table was restored from an older copy
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

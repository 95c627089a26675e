package org.bambooarch.core.budget;

/**
 * What one instance tells another about one resource.
 *
 * @param resource name of the resource
 * @param sentTotal everything that the sender ever moved to the receiver, as running totals
 * @param held what the sender holds now
 * @param demandMilliQuantaPerSecond thousandths of quanta per second asked of the sender
 * @param wantedUnits capacity units that requests at the sender wait for
 */
public record ShareEntry(
    String resource,
    ShareAmount sentTotal,
    ShareAmount held,
    long demandMilliQuantaPerSecond,
    long wantedUnits) {}

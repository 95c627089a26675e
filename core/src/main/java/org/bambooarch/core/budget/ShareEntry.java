package org.bambooarch.core.budget;

/**
 * The state of one resource that one instance reports to another.
 *
 * @param resource name of the resource
 * @param sentTotal all units that the sender ever moved to the receiver, as running totals
 * @param held amount that the sender holds now
 * @param demandMilliQuantaPerSecond demand at the sender, in thousandths of quanta per second
 * @param wantedUnits full units that the requests waiting at the sender lack
 */
public record ShareEntry(
    String resource,
    ShareAmount sentTotal,
    ShareAmount held,
    long demandMilliQuantaPerSecond,
    long wantedUnits) {}

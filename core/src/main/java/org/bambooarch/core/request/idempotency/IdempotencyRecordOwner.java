package org.bambooarch.core.request.idempotency;

/**
 * The one send of a request that may dispatch it.
 *
 * @param instance name of the entry instance
 * @param incarnation number that differs at each start of the instance
 * @param attempt number that differs for each request inside one incarnation
 */
public record IdempotencyRecordOwner(String instance, long incarnation, long attempt) {}

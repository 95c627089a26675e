package org.bambooarch.core.request.idempotency;

/**
 * One header of a recorded answer.
 *
 * @param name name in lower case
 * @param value value as the target sent it
 */
public record RecordedHeader(String name, String value) {}

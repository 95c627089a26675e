package org.bambooarch.core.request.idempotency;

/**
 * One header field of a {@link RecordedResponse}.
 *
 * @param name field name in lower case
 * @param value field value as the target sent it
 */
public record RecordedHeader(String name, String value) {}

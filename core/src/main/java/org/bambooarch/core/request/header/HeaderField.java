package org.bambooarch.core.request.header;

/**
 * One header field of a request or response.
 *
 * @param name field name as received, in any case
 * @param value field value as received
 */
public record HeaderField(String name, String value) {}

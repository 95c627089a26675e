package org.bambooarch.core.request.order;

/**
 * One header of a recorded answer.
 *
 * @param name name in lower case
 * @param value value as the target sent it
 */
public record AnswerHeader(String name, String value) {}

package org.bambooarch.core.inventory;

/**
 * A route of a service: which requests it matches and how they are treated.
 *
 * @param name unique name inside its service
 * @param method HTTP method in upper case
 * @param pathPrefix path prefix that ends at a segment boundary, such as {@code /catalogue/books}
 * @param idempotent whether a request may run more than once
 * @param priority rank under load
 * @param expectedAnswerBytes estimate of an answer's size, for link budgets
 * @param timeoutMillis time limit of a request that brings no deadline of its own
 * @param openToAll whether a request needs no key
 */
public record Route(
    String name,
    String method,
    String pathPrefix,
    boolean idempotent,
    PriorityClass priority,
    long expectedAnswerBytes,
    long timeoutMillis,
    boolean openToAll) {}

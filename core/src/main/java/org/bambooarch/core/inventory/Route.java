package org.bambooarch.core.inventory;

/**
 * A route of a service: which requests it matches and how they are handled.
 *
 * @param name name that is unique within the service
 * @param method HTTP method in upper case
 * @param pathPrefix path prefix that ends at a segment boundary, such as {@code /catalogue/books}
 * @param idempotent whether a request may run more than once
 * @param priority priority class of its requests under load
 * @param expectedAnswerBytes estimated size of a response in bytes, for link budgets
 * @param timeoutMillis time limit in milliseconds of a request that has no deadline of its own
 * @param openToAll whether requests need no customer key
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

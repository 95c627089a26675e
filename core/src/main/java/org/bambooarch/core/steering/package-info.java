/**
 * Decisions that an entry instance of a fleet makes about requests: their route, the customer's
 * rate limit, the server and retries.
 */
package org.bambooarch.core.steering;

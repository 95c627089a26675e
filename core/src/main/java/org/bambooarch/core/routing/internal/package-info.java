/**
 * State, counters and controllers that the choice of a target server is made from; not for use
 * outside of {@code core.routing}.
 */
package org.bambooarch.core.routing.internal;

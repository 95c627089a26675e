/**
 * Load balancing: chooses a target server for each request, and entry instances for callers that
 * look them up.
 */
package org.bambooarch.core.routing;

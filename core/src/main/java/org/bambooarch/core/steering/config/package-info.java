/**
 * The configuration that an entry instance applies to requests, with look-ups by host, path and
 * key, and the split of a route's requests among services.
 */
package org.bambooarch.core.steering.config;

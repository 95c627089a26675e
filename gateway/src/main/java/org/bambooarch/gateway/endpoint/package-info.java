/** HTTP endpoints of an instance besides the proxied requests: directory and readiness. */
package org.bambooarch.gateway.endpoint;

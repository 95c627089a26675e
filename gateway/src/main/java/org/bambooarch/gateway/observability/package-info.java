/** Logs and metrics of an instance. */
package org.bambooarch.gateway.observability;

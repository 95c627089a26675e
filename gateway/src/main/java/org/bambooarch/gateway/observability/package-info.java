/** What operators see of an instance: logs and metrics. */
package org.bambooarch.gateway.observability;

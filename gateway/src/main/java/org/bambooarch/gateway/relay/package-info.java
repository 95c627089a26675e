/**
 * Forwards requests of other instances, which are partitioned from all servers, to the servers that
 * these instances chose.
 */
package org.bambooarch.gateway.relay;

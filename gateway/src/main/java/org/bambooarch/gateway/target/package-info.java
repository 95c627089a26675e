/**
 * HTTP client for the servers, with a connection pool for each server.
 *
 * <p>The client uses Netty's HTTP codec instead of Armeria's client. Which connection a request
 * uses, whether that connection was reset or closed, and what arrives after a response all decide
 * whether a request may be retried, and Armeria's client does not expose them.
 */
package org.bambooarch.gateway.target;

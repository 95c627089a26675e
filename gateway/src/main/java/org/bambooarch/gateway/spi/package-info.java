/**
 * Interfaces that the platform module implements for the gateway, and the types they exchange.
 * Names and encodings of the wire stay in the implementations.
 */
package org.bambooarch.gateway.spi;

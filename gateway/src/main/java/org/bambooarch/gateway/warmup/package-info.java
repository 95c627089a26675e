/** Warm-up of a process by a short load on loopback sockets, before clients connect. */
package org.bambooarch.gateway.warmup;

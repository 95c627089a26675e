/** A short load on loopback sockets, by which a process is warm before callers come. */
package org.bambooarch.gateway.warmup;

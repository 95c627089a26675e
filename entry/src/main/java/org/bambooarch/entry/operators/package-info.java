/** The HTTP server for operators: health, readiness, metrics and a dump of the state. */
package org.bambooarch.entry.operators;

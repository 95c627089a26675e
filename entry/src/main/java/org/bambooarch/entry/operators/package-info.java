/** What an instance shows to operators: health, readiness, metrics and its state. */
package org.bambooarch.entry.operators;

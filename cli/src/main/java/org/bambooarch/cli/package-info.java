/**
 * The operators' command-line program: finds a command, parses its options and reports its errors.
 *
 * <p>The commands are in {@code command}, changes of the configuration in {@code config}, clients
 * of running instances in {@code http}, the analysis of logs in {@code explain} and the guided
 * demonstration of all parts in {@code quickstart}.
 */
package org.bambooarch.cli;

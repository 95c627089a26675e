/**
 * The operators' command line: finds a command, reads its options, reports its errors.
 *
 * <p>The commands are in {@code command}, changes of the configuration in {@code config}, clients
 * of running instances in {@code http} and the walk through all parts in {@code quickstart}.
 */
package org.bambooarch.cli;

/**
 * Reads, validates, compares and writes inventories.
 *
 * <p>The package {@code error} has one factory method for each message of a finding. The packages
 * under {@code internal} are for this module only.
 */
package org.bambooarch.inventory;

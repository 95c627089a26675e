/**
 * Reads, checks, compares and writes inventories.
 *
 * <p>{@code error} holds one factory for each message; {@code internal} is for this module only.
 */
package org.bambooarch.inventory;

package org.bambooarch.gateway.target;

import org.bambooarch.core.steering.hash.Hashes;

/**
 * The ids of the requests that one connection has carried.
 *
 * <p>Keeps a 32-bit hash of each id in an open-addressing table, so a lookup may find an id that
 * the connection has not carried, but never misses one that it has.
 */
final class CarriedRequestIds {

  /** Most ids that a connection carries; their table takes 8 KiB. */
  static final int MAX_IDS = 1_536;

  private static final int INITIAL_SLOTS = 16;

  /** Value of a slot without a hash. */
  private static final int FREE = 0;

  private int[] slots = new int[INITIAL_SLOTS];
  private int size;

  /**
   * Adds an id; an empty one stands for a request without an id.
   *
   * @throws IllegalStateException if the memory is full
   */
  void add(String requestId) {
    if (isFull()) {
      throw new IllegalStateException("the connection has carried " + size + " requests");
    }
    if ((size + 1) * 4 > slots.length * 3) {
      grow();
    }
    int hash = hashOf(requestId);
    int slot = slotOf(hash);
    if (slots[slot] == FREE) {
      slots[slot] = hash;
      size++;
    }
  }

  /** Returns whether the id was added; true for some others too, whose hash is the same. */
  boolean contains(String requestId) {
    return slots[slotOf(hashOf(requestId))] != FREE;
  }

  /** Returns whether no further id can be added. */
  boolean isFull() {
    return size >= MAX_IDS;
  }

  private static int hashOf(String requestId) {
    int hash = Hashes.intOf(requestId);
    return hash == FREE ? 1 : hash;
  }

  /** Returns the slot that has the hash, or the free one where it belongs. */
  private int slotOf(int hash) {
    int slot = hash & (slots.length - 1);
    while (slots[slot] != FREE && slots[slot] != hash) {
      slot = (slot + 1) & (slots.length - 1);
    }
    return slot;
  }

  private void grow() {
    int[] smaller = slots;
    slots = new int[2 * smaller.length];
    for (int hash : smaller) {
      if (hash != FREE) {
        slots[slotOf(hash)] = hash;
      }
    }
  }
}

package org.bambooarch.core.membership;

/** What is known of another instance; of two reports on one run the later status wins. */
public enum InstanceStatus {
  /** Messages arrive from it, or others say so. */
  ALIVE,
  /** It has been silent for a while, or is only known from the platform's list. */
  SUSPECT,
  /** It announced that it stops; it takes no new callers. */
  LEAVING,
  /** Nobody has heard from it for long. */
  DEAD
}

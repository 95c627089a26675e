package org.bambooarch.gateway.spi;

/** A list in the platform's store whose changes can be watched. */
public enum Topic {
  /** The configuration and the closed data centres; operators write them. */
  OPERATOR,
  /** The servers of all services; each server writes its own entry. */
  SERVERS,
  /** The instances of the fleet; each instance writes its own entry. */
  INSTANCES
}

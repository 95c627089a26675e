package org.bambooarch.gateway.spi;

/** A list that the platform keeps and whose changes can be followed. */
public enum Topic {
  /** The configuration and the closed data centres, written by operators. */
  OPERATOR,
  /** The servers, written by themselves. */
  SERVERS,
  /** The instances of the fleet, written by themselves. */
  INSTANCES
}

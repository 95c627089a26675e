package org.bambooarch.core.inventory;

/**
 * A rule that takes a region, a data centre, a server or an instance out of use without cutting off
 * the requests in flight.
 *
 * @param kind kind of the drained thing
 * @param name name of the region, data centre, server or instance
 */
public record DrainRule(Kind kind, String name) {

  /** The kinds of things that a drain rule can take out of use. */
  public enum Kind {
    /** All servers and entry instances of one region. */
    REGION,
    /** All servers and entry instances of one data centre. */
    DATA_CENTRE,
    /** One target server. */
    SERVER,
    /** One entry instance. */
    INSTANCE
  }
}

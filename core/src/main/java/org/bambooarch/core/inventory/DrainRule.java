package org.bambooarch.core.inventory;

/**
 * A rule that takes a place, a server or an instance out of use without cutting its requests.
 *
 * @param kind what is drained
 * @param name name of the region, data centre, server or instance
 */
public record DrainRule(Kind kind, String name) {

  /** What a drain rule takes out of use. */
  public enum Kind {
    /** A whole region. */
    REGION,
    /** One data centre. */
    DATA_CENTRE,
    /** One target server. */
    SERVER,
    /** One entry instance. */
    INSTANCE
  }
}

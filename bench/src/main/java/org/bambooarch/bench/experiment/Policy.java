package org.bambooarch.bench.experiment;

import java.util.Locale;

/** The policies that an experiment compares. */
enum Policy {
  BAMBOOARCH,
  ROUND_ROBIN,
  LEAST_OUTSTANDING,
  NEAREST_ONLY,
  STATIC_SHARES;

  /** Returns the name in tables and plots: lower case, with hyphens. */
  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  boolean usesLibrary() {
    return this == BAMBOOARCH;
  }
}

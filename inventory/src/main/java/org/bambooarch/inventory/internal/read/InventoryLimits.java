package org.bambooarch.inventory.internal.read;

/** Bounds beyond which a declared value is taken for a mistake. */
final class InventoryLimits {

  static final long MIN_CAP_BYTES_PER_SECOND = 1;

  /** 100 Tbit/s, above any link between two places. */
  static final long MAX_CAP_BYTES_PER_SECOND = 12_500_000_000_000L;

  /** Two satellite hops; a larger delay is a wrong unit. */
  static final long MAX_DELAY_MICROS = 1_000_000L;

  static final long MAX_PORT = 65_535;
  static final long MAX_SLOTS = 100_000;
  static final long MAX_CONNECTIONS = 1_000_000;
  static final double MIN_REQUESTS_PER_SECOND = 0.001;
  static final double MAX_REQUESTS_PER_SECOND = 100_000_000;
  static final long MAX_BURST_REQUESTS = 1_000_000_000L;
  static final long MAX_EXPECTED_ANSWER_BYTES = 1L << 40;
  static final long MAX_TIMEOUT_MILLIS = 86_400_000L;

  private InventoryLimits() {}
}

package org.bambooarch.inventory.internal.read;

/** Inclusive bounds of declared values; a value outside them is treated as a mistake. */
final class InventoryLimits {

  static final long MIN_CAP_BYTES_PER_SECOND = 1;

  /** 100 Tbit/s, which is above the capacity of any link between two regions. */
  static final long MAX_CAP_BYTES_PER_SECOND = 12_500_000_000_000L;

  /** One second, enough for two satellite hops; a larger value indicates a wrong unit. */
  static final long MAX_DELAY_MICROS = 1_000_000L;

  static final long MAX_PORT = 65_535;
  static final long MAX_SLOTS = 100_000;
  static final long MAX_CONNECTIONS = 1_000_000;
  static final double MIN_REQUESTS_PER_SECOND = 0.001;
  static final double MAX_REQUESTS_PER_SECOND = 100_000_000;
  static final long MAX_BURST_REQUESTS = 1_000_000_000L;

  /** 1 TiB. */
  static final long MAX_EXPECTED_ANSWER_BYTES = 1L << 40;

  /** One day. */
  static final long MAX_TIMEOUT_MILLIS = 86_400_000L;

  private InventoryLimits() {}
}

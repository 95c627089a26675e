package org.bambooarch.core.config.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The send times of the last {@value #MAX_PROBES} probes, so that ages in an answer can be counted
 * from when its probe was sent rather than from when the answer arrived.
 */
public final class ProbeTable {

  private static final int MAX_PROBES = 64;

  private final Map<Long, Long> sentNanosByNumber =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_PROBES;
        }
      };
  private long lastNumber;

  /**
   * Creates an empty table.
   *
   * @param initialNumber number before that of the first probe; must differ from run to run
   */
  public ProbeTable(long initialNumber) {
    this.lastNumber = initialNumber;
  }

  /** Records a probe that is sent now and returns its number. */
  public long next(long nowNanos) {
    lastNumber++;
    sentNanosByNumber.put(lastNumber, nowNanos);
    return lastNumber;
  }

  /**
   * Returns when a probe was sent; empty if this process did not send it or sent it too long ago.
   */
  public OptionalLong sentNanos(long number) {
    Long sentNanos = sentNanosByNumber.get(number);
    return sentNanos == null ? OptionalLong.empty() : OptionalLong.of(sentNanos);
  }
}

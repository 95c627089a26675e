package org.bambooarch.core.config.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/** When each probe was sent, so that an answer's age counts from the question and not from now. */
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

  /** Creates an empty table; numbers follow the given one, which differs after a restart. */
  public ProbeTable(long initialNumber) {
    this.lastNumber = initialNumber;
  }

  /** Returns the number of a probe that is sent now. */
  public long next(long nowNanos) {
    lastNumber++;
    sentNanosByNumber.put(lastNumber, nowNanos);
    return lastNumber;
  }

  /** Returns when a probe was sent, if this process sent it lately. */
  public OptionalLong sentNanos(long number) {
    Long sentNanos = sentNanosByNumber.get(number);
    return sentNanos == null ? OptionalLong.empty() : OptionalLong.of(sentNanos);
  }
}

package org.bambooarch.gateway.spi;

import java.util.List;
import org.bambooarch.core.steering.fleet.CrashRecord;

/**
 * The crashes that the platform's store has recorded.
 *
 * @param storeMillis time of the store's steady clock when they were read, in milliseconds; 0 if
 *     unknown
 * @param records one record for each request
 */
public record RecordedCrashes(long storeMillis, List<CrashRecord> records) {

  /** Makes an unmodifiable copy of the list. */
  public RecordedCrashes {
    records = List.copyOf(records);
  }
}

package org.bambooarch.inventory.internal.check;

import static org.bambooarch.inventory.error.NameErrors.duplicate;

import java.util.HashMap;
import java.util.Map;
import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.Location;

/** Reports values that occur more than once in one namespace. */
final class UniqueValues {

  private final String kind;
  private final Findings findings;
  private final Map<String, Location> firstLocations = new HashMap<>();

  UniqueValues(String kind, Findings findings) {
    this.kind = kind;
    this.findings = findings;
  }

  /**
   * Adds a value and reports it if it was added before. Ignores an empty value, because it stands
   * for a field whose error has already been reported.
   */
  void add(String value, Location location) {
    if (value.isEmpty()) {
      return;
    }
    Location first = firstLocations.putIfAbsent(value, location);
    if (first != null) {
      findings.add(duplicate(location, kind, value, first));
    }
  }
}

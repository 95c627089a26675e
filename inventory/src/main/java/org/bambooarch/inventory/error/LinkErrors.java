package org.bambooarch.inventory.error;

import static org.bambooarch.inventory.Finding.findingAt;

import java.util.List;
import org.bambooarch.inventory.Finding;
import org.bambooarch.inventory.Location;

/** Findings about links between regions. */
public final class LinkErrors {

  private LinkErrors() {}

  /** A pair that does not have two ends. */
  public static Finding notTwoRegions(Location location, List<String> actual) {
    return findingAt(location, "expected the names of two regions; found " + actual);
  }

  /** A link that starts and ends in one region. */
  public static Finding linkToItself(Location location, String region) {
    return findingAt(location, "expected two different regions; found \"" + region + "\" twice");
  }

  /** Two regions without a link in one direction. */
  public static Finding missingLink(Location location, String from, String to) {
    return findingAt(
        location, "expected a link from \"" + from + "\" to \"" + to + "\"; found none");
  }
}

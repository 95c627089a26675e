package org.bambooarch.inventory.error;

import static org.bambooarch.inventory.Finding.findingAt;

import java.util.List;
import org.bambooarch.inventory.Finding;
import org.bambooarch.inventory.Location;

/** Findings about links between regions. */
public final class LinkErrors {

  private LinkErrors() {}

  /** A pair that does not have two ends. */
  public static Finding notTwoRegions(Location where, List<String> actual) {
    return findingAt(where, "expected the names of two regions; found " + actual);
  }

  /** A link that starts and ends in one region. */
  public static Finding linkToItself(Location where, String region) {
    return findingAt(where, "expected two different regions; found \"" + region + "\" twice");
  }

  /** Two regions without a link in one direction. */
  public static Finding missingLink(Location where, String from, String to) {
    return findingAt(where, "expected a link from \"" + from + "\" to \"" + to + "\"; found none");
  }
}

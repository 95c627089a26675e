package org.bambooarch.inventory.error;

import static org.bambooarch.inventory.Finding.findingAt;

import java.util.List;
import org.bambooarch.inventory.Finding;
import org.bambooarch.inventory.Location;

/** Creates findings about links between regions. */
public final class LinkErrors {

  private LinkErrors() {}

  /** Reports a {@code between} array that does not have exactly two elements. */
  public static Finding notTwoRegions(Location location, List<String> actual) {
    return findingAt(location, "expected the names of two regions; found " + actual);
  }

  /** Reports a link whose two regions are the same. */
  public static Finding linkToItself(Location location, String region) {
    return findingAt(location, "expected two different regions; found \"" + region + "\" twice");
  }

  /** Reports that no link is declared for one direction between two regions. */
  public static Finding missingLink(Location location, String from, String to) {
    return findingAt(
        location, "expected a link from \"" + from + "\" to \"" + to + "\"; found none");
  }
}

package org.bambooarch.inventory.error;

import static org.bambooarch.inventory.Finding.findingAt;

import java.io.IOException;
import java.util.Collection;
import org.bambooarch.inventory.Finding;
import org.bambooarch.inventory.Location;

/** Findings about the files of an inventory directory. */
public final class FileErrors {

  private FileErrors() {}

  /** The given path is no directory. */
  public static Finding notADirectory(Location location) {
    return findingAt(location, "expected a directory with the inventory's JSON files; found none");
  }

  /** A file that every inventory has is not there. */
  public static Finding missingFile(Location location) {
    return findingAt(location, "expected this file in the directory; it is missing");
  }

  /** A JSON file that no reader knows. */
  public static Finding unknownFile(Location location, Collection<String> known) {
    String names = String.join(", ", known);
    return findingAt(location, "unknown file; expected only " + names);
  }

  /** A file that cannot be read. */
  public static Finding unreadable(Location location, IOException cause) {
    return findingAt(location, "expected UTF-8 text; reading failed with " + cause);
  }
}

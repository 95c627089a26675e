package org.bambooarch.inventory.error;

import static org.bambooarch.inventory.Finding.findingAt;

import java.io.IOException;
import java.util.Collection;
import org.bambooarch.inventory.Finding;
import org.bambooarch.inventory.Location;

/** Creates findings about the files of an inventory directory. */
public final class FileErrors {

  private FileErrors() {}

  /** Reports an inventory path that does not exist or is not a directory. */
  public static Finding notDirectory(Location location) {
    return findingAt(
        location,
        "expected a directory with the inventory's JSON files; this path is no directory");
  }

  /** Reports that a required file of the inventory does not exist. */
  public static Finding missingFile(Location location) {
    return findingAt(location, "expected this file in the directory; it is missing");
  }

  /** Reports a JSON file whose name is none of the known file names. */
  public static Finding unknownFile(Location location, Collection<String> known) {
    String names = String.join(", ", known);
    return findingAt(location, "unknown file; expected only " + names);
  }

  /** Reports a file or directory that cannot be read, or a file that is not valid UTF-8. */
  public static Finding unreadable(Location location, IOException cause) {
    return findingAt(location, "expected UTF-8 text; reading failed with " + cause);
  }
}

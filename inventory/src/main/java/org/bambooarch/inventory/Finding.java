package org.bambooarch.inventory;

/**
 * One fault of an inventory and its place.
 *
 * @param file name of the file
 * @param pointer JSON pointer of the value (RFC 6901); empty for the whole file
 * @param message one sentence that states what was expected and what was found
 */
public record Finding(String file, String pointer, String message) {

  /** Returns a finding at the given location. */
  public static Finding findingAt(Location location, String message) {
    return new Finding(location.file(), location.pointer(), message);
  }

  @Override
  public String toString() {
    return file + "#" + pointer + ": " + message;
  }
}

package org.bambooarch.inventory;

/**
 * One error in an inventory or settings file, with its location.
 *
 * @param file name of the file
 * @param pointer JSON pointer of the value (RFC 6901); empty for the whole file
 * @param message one sentence that says what was expected and what was found
 */
public record Finding(String file, String pointer, String message) {

  /** Creates a finding with the file and JSON pointer of a location. */
  public static Finding findingAt(Location location, String message) {
    return new Finding(location.file(), location.pointer(), message);
  }

  @Override
  public String toString() {
    return file + "#" + pointer + ": " + message;
  }
}

package org.bambooarch.inventory;

/**
 * The location of a value in a file of the inventory.
 *
 * <pre>{@code
 * Location port = Location.root("servers.json").child("servers").child(3).child("port");
 * }</pre>
 *
 * @param file name of the file
 * @param pointer JSON pointer of the value (RFC 6901); empty for the whole file
 */
public record Location(String file, String pointer) {

  /** Returns the location of a whole file. */
  public static Location root(String file) {
    return new Location(file, "");
  }

  /**
   * Returns the location of a field of the object at this location. Escapes {@code ~} and {@code /}
   * in the field name as RFC 6901 requires.
   */
  public Location child(String field) {
    String escaped = field.replace("~", "~0").replace("/", "~1");
    return new Location(file, pointer + "/" + escaped);
  }

  /** Returns the location of an element of the array at this location, counted from zero. */
  public Location child(int index) {
    return new Location(file, pointer + "/" + index);
  }

  @Override
  public String toString() {
    return file + "#" + pointer;
  }
}

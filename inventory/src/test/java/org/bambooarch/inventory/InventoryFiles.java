package org.bambooarch.inventory;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** A copy of an example directory that a test may break. */
final class InventoryFiles {

  static final Path SWATCHNET = Path.of("..", "examples", "swatchnet");
  static final Path BLUE_MAHOE = Path.of("..", "examples", "blue-mahoe");

  private final Path directory;

  private InventoryFiles(Path directory) {
    this.directory = directory;
  }

  static InventoryFiles copyOf(Path example, Path target) throws IOException {
    try (DirectoryStream<Path> files = Files.newDirectoryStream(example)) {
      for (Path file : files) {
        Files.copy(file, target.resolve(file.getFileName()));
      }
    }
    return new InventoryFiles(target);
  }

  /** Replaces the first occurrence of a text, which must exist. */
  InventoryFiles replace(String file, String from, String to) throws IOException {
    String text = Files.readString(directory.resolve(file));
    int at = text.indexOf(from);
    if (at < 0) {
      throw new IllegalArgumentException(file + " does not hold " + from);
    }
    String changed = text.substring(0, at) + to + text.substring(at + from.length());
    Files.writeString(directory.resolve(file), changed);
    return this;
  }

  InventoryFiles write(String file, String text) throws IOException {
    Files.writeString(directory.resolve(file), text);
    return this;
  }

  InventoryFiles delete(String file) throws IOException {
    Files.delete(directory.resolve(file));
    return this;
  }

  Path directory() {
    return directory;
  }
}

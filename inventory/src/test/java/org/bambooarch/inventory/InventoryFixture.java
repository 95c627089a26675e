package org.bambooarch.inventory;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** A copy of an example inventory directory that a test may modify. */
final class InventoryFixture {

  static final Path SWATCHNET = Path.of("..", "examples", "swatchnet");
  static final Path BLUE_MAHOE = Path.of("..", "examples", "blue-mahoe");

  private final Path directory;

  private InventoryFixture(Path directory) {
    this.directory = directory;
  }

  static InventoryFixture copyOf(Path example, Path target) throws IOException {
    try (DirectoryStream<Path> files = Files.newDirectoryStream(example)) {
      for (Path file : files) {
        Files.copy(file, target.resolve(file.getFileName()));
      }
    }
    return new InventoryFixture(target);
  }

  /** Replaces the first occurrence of a text; fails if the file does not contain it. */
  InventoryFixture replace(String file, String oldText, String newText) throws IOException {
    String content = Files.readString(directory.resolve(file));
    int index = content.indexOf(oldText);
    if (index < 0) {
      throw new IllegalArgumentException(file + " does not contain " + oldText);
    }
    String newContent =
        content.substring(0, index) + newText + content.substring(index + oldText.length());
    Files.writeString(directory.resolve(file), newContent);
    return this;
  }

  InventoryFixture write(String file, String content) throws IOException {
    Files.writeString(directory.resolve(file), content);
    return this;
  }

  InventoryFixture delete(String file) throws IOException {
    Files.delete(directory.resolve(file));
    return this;
  }

  Path directory() {
    return directory;
  }
}

package org.bambooarch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import org.bambooarch.cli.quickstart.LoopbackFleet;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.inventory.InventoryDirectory;

/** A copy of the Swatchnet example with the ports on which a fleet's stand-in targets listen. */
final class InventoryCopy {

  static final Path SWATCHNET = Path.of("..", "examples", "swatchnet");

  private final Path directory;

  private InventoryCopy(Path directory) {
    this.directory = directory;
  }

  static InventoryCopy of(LoopbackFleet fleet, Path directory)
      throws IOException, InvalidInventoryException {
    try (DirectoryStream<Path> files = Files.newDirectoryStream(SWATCHNET)) {
      for (Path file : files) {
        Files.copy(file, directory.resolve(file.getFileName()));
      }
    }
    InventoryCopy copy = new InventoryCopy(directory);
    List<Server> declared = InventoryDirectory.read(SWATCHNET).servers();
    for (int i = 0; i < declared.size(); i++) {
      int port = fleet.inventory().servers().get(i).port();
      copy.edit("servers.json", "\"port\": " + declared.get(i).port(), "\"port\": " + port);
    }
    return copy;
  }

  /** Replaces the first occurrence of a text in a file; fails the test if there is none. */
  void edit(String name, String from, String to) throws IOException {
    Path file = directory.resolve(name);
    String text = Files.readString(file);
    assertThat(text).contains(from);
    Files.writeString(file, text.replaceFirst(Pattern.quote(from), to));
  }
}

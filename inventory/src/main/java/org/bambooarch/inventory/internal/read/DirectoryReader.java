package org.bambooarch.inventory.internal.read;

import static org.bambooarch.inventory.error.FileErrors.missingFile;
import static org.bambooarch.inventory.error.FileErrors.notDirectory;
import static org.bambooarch.inventory.error.FileErrors.unknownFile;
import static org.bambooarch.inventory.error.FileErrors.unreadable;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.Location;

/** Reads the JSON files of an inventory directory into a draft. */
public final class DirectoryReader {

  private final InventoryDraft draft = new InventoryDraft();
  private final Findings findings;
  private final Map<String, FileContentReader> contentReaders = new LinkedHashMap<>();

  private DirectoryReader(Findings findings) {
    this.findings = findings;
    contentReaders.put("places.json", file -> PlacesReader.read(file, draft, findings));
    contentReaders.put("services.json", file -> ServicesReader.read(file, draft));
    contentReaders.put("servers.json", file -> ServersReader.read(file, draft));
    contentReaders.put("customers.json", file -> CustomersReader.read(file, draft));
    contentReaders.put("client-blocks.json", file -> ClientBlocksReader.read(file, draft));
    contentReaders.put("rules.json", file -> RulesReader.read(file, draft));
  }

  /**
   * Reads all files and reports missing, unknown and unreadable files as well as errors of syntax,
   * fields and values. Returns an empty draft if the path is no directory.
   */
  public static InventoryDraft read(Path directory, Findings findings) {
    if (!Files.isDirectory(directory)) {
      findings.add(notDirectory(Location.root(directory.toString())));
      return new InventoryDraft();
    }
    DirectoryReader reader = new DirectoryReader(findings);
    reader.contentReaders.forEach(
        (name, contentReader) -> reader.readFile(directory.resolve(name), name, contentReader));
    reader.reportUnknownFiles(directory);
    return reader.draft;
  }

  private void readFile(Path path, String name, FileContentReader contentReader) {
    Location location = Location.root(name);
    if (!Files.exists(path)) {
      findings.add(missingFile(location));
      return;
    }
    try {
      StrictJson.parse(Files.readString(path), location, findings)
          .ifPresent(
              file -> {
                contentReader.read(file);
                file.reportUnknownFields();
              });
    } catch (IOException e) {
      findings.add(unreadable(location, e));
    }
  }

  /** Reports other JSON files, because the content of a misspelt file would be silently ignored. */
  private void reportUnknownFiles(Path directory) {
    List<String> unknown = new ArrayList<>();
    try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, "*.json")) {
      for (Path file : files) {
        String name = String.valueOf(file.getFileName());
        if (!contentReaders.containsKey(name)) {
          unknown.add(name);
        }
      }
    } catch (IOException e) {
      findings.add(unreadable(Location.root(directory.toString()), e));
    }
    Collections.sort(unknown);
    for (String name : unknown) {
      findings.add(unknownFile(Location.root(name), contentReaders.keySet()));
    }
  }

  /** Reads the known fields of one file into the draft. */
  @FunctionalInterface
  private interface FileContentReader {
    void read(FieldReader file);
  }
}

package org.bambooarch.cli.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.entry.EntrySettings;

/** Reads the JSON settings of an entry instance; every field is required, no other is allowed. */
public final class SettingsFile {

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private SettingsFile() {}

  /** Reads a settings file. */
  public static EntrySettings read(Path file) throws CommandException {
    try {
      return MAPPER.readValue(Files.readString(file), EntrySettings.class);
    } catch (JsonProcessingException e) {
      String place =
          e.getLocation() == null
              ? ""
              : ":" + e.getLocation().getLineNr() + ":" + e.getLocation().getColumnNr();
      String firstLine = e.getOriginalMessage().lines().findFirst().orElse("");
      throw new CommandException(
          ExitCode.INVALID, file + place + ": " + firstLine + "; mend the settings file", e);
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.INVALID, "settings file " + file + " cannot be read (" + e + ")", e);
    }
  }
}

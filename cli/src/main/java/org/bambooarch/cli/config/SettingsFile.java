package org.bambooarch.cli.config;

import static org.bambooarch.inventory.error.JsonErrors.malformedJson;
import static org.bambooarch.inventory.error.JsonErrors.missingField;
import static org.bambooarch.inventory.error.JsonErrors.unknownField;
import static org.bambooarch.inventory.error.JsonErrors.wrongType;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.inventory.Location;

/**
 * Reads the JSON settings file of a process into a record.
 *
 * <p>Strings, numbers and booleans of the record are required fields; lists and nested records may
 * be absent. Unknown fields are not allowed. All findings of a file are reported together.
 *
 * <pre>{@code
 * EntrySettings settings = SettingsFile.read(Path.of("entry-1.json"), EntrySettings.class);
 * }</pre>
 */
public final class SettingsFile {

  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .build();

  private SettingsFile() {}

  /**
   * Reads a settings file.
   *
   * @throws InvalidInventoryException if the content is not valid, with all findings
   * @throws CommandException if the file cannot be read
   */
  public static <T extends Record> T read(Path file, Class<T> type)
      throws CommandException, InvalidInventoryException {
    Findings findings = Findings.empty();
    Location location = Location.root(file.toString());
    try {
      JsonNode settings = MAPPER.readTree(Files.readString(file));
      checkObject(settings, type, location, findings);
      findings.throwIfAny();
      return MAPPER.treeToValue(settings, type);
    } catch (JsonProcessingException e) {
      JsonLocation at = e.getLocation() == null ? JsonLocation.NA : e.getLocation();
      findings.add(
          malformedJson(location, at.getLineNr(), at.getColumnNr(), e.getOriginalMessage()));
      throw new InvalidInventoryException(findings.asList());
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.INVALID, "settings file " + file + " cannot be read (" + e + ")", e);
    }
  }

  private static void checkObject(
      JsonNode settings, Class<? extends Record> type, Location location, Findings findings) {
    if (!settings.isObject()) {
      findings.add(wrongType(location, "an object", settings));
      return;
    }
    Set<String> known = new LinkedHashSet<>();
    for (RecordComponent component : type.getRecordComponents()) {
      known.add(component.getName());
      checkField(settings, component, location, findings);
    }
    Iterator<String> names = settings.fieldNames();
    while (names.hasNext()) {
      String name = names.next();
      if (!known.contains(name)) {
        findings.add(unknownField(location.child(name), name, known));
      }
    }
  }

  private static void checkField(
      JsonNode settings, RecordComponent component, Location location, Findings findings) {
    JsonNode value = settings.get(component.getName());
    Class<?> type = component.getType();
    if (value == null) {
      if (!isOptional(type)) {
        findings.add(missingField(location, component.getName()));
      }
      return;
    }
    if (type.isRecord()) {
      checkObject(
          value, type.asSubclass(Record.class), location.child(component.getName()), findings);
      return;
    }
    if (!isOfType(value, type)) {
      String expected = "a value of type " + type.getSimpleName();
      findings.add(wrongType(location.child(component.getName()), expected, value));
    }
  }

  private static boolean isOptional(Class<?> type) {
    return type.isRecord() || List.class.isAssignableFrom(type);
  }

  private static boolean isOfType(JsonNode value, Class<?> type) {
    if (type == String.class) {
      return value.isTextual();
    }
    if (type == int.class) {
      return value.isIntegralNumber() && value.canConvertToInt();
    }
    if (type == long.class) {
      return value.isIntegralNumber() && value.canConvertToLong();
    }
    if (type == boolean.class) {
      return value.isBoolean();
    }
    try {
      MAPPER.treeToValue(value, type);
      return !value.isNull();
    } catch (JsonProcessingException e) {
      return false;
    }
  }
}

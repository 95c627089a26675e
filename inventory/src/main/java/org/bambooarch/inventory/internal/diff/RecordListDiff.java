package org.bambooarch.inventory.internal.diff;

import java.lang.reflect.RecordComponent;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

/**
 * Compares two lists of records that are identified by a name, and describes each removed, added or
 * changed record in one line of text. The field names in a line are the names of the record
 * components.
 *
 * @param <T> record type of the entries
 */
public final class RecordListDiff<T extends Record> {

  private final String kind;
  private final Function<T, String> nameOf;

  private RecordListDiff(String kind, Function<T, String> nameOf) {
    this.kind = kind;
    this.nameOf = nameOf;
  }

  /**
   * Returns a comparison of entries of one kind.
   *
   * @param kind kind of entry as it is printed in the lines, such as {@code data centre}
   * @param nameOf returns the name that identifies an entry in its list
   */
  public static <T extends Record> RecordListDiff<T> of(String kind, Function<T, String> nameOf) {
    return new RecordListDiff<>(kind, nameOf);
  }

  /**
   * Appends one line for each removed, added or changed entry: first the removed ones in the order
   * of {@code from}, then the others in the order of {@code to}.
   */
  public void compare(List<T> from, List<T> to, List<String> lines) {
    Map<String, T> before = byName(from);
    Map<String, T> after = byName(to);
    before.forEach(
        (name, entry) -> {
          if (!after.containsKey(name)) {
            lines.add("- " + kind + " " + name);
          }
        });
    after.forEach(
        (name, entry) -> {
          T oldEntry = before.get(name);
          if (oldEntry == null) {
            lines.add(describeAdded(name, entry));
          } else if (!oldEntry.equals(entry)) {
            lines.add("~ " + kind + " " + name + ":" + describeChanges(oldEntry, entry));
          }
        });
  }

  private Map<String, T> byName(List<T> entries) {
    Map<String, T> byName = new LinkedHashMap<>();
    for (T entry : entries) {
      byName.put(nameOf.apply(entry), entry);
    }
    return byName;
  }

  private String describeAdded(String name, T entry) {
    String fields = describeFields(entry, name);
    return "+ " + kind + " " + name + (fields.isEmpty() ? "" : ":" + fields);
  }

  private static String describeFields(Record entry, String name) {
    StringBuilder text = new StringBuilder();
    for (RecordComponent component : entry.getClass().getRecordComponents()) {
      Object value = readComponent(component, entry);
      if (value instanceof Record nested) {
        text.append(describeFields(nested, name));
      } else if (!isOmitted(value, name)) {
        text.append(' ').append(component.getName()).append('=').append(value);
      }
    }
    return text.toString();
  }

  private static String describeChanges(Record oldEntry, Record entry) {
    StringBuilder text = new StringBuilder();
    for (RecordComponent component : entry.getClass().getRecordComponents()) {
      Object before = readComponent(component, oldEntry);
      Object after = readComponent(component, entry);
      if (Objects.equals(before, after)) {
        continue;
      }
      if (before instanceof Record nestedBefore && after instanceof Record nestedAfter) {
        text.append(describeChanges(nestedBefore, nestedAfter));
        continue;
      }
      text.append(' ').append(component.getName()).append(' ');
      text.append(before).append(" -> ").append(after);
    }
    return text.toString();
  }

  /** Returns whether a value is left out: it is part of the printed name, or an empty list. */
  private static boolean isOmitted(Object value, String name) {
    if (value instanceof List<?> list) {
      return list.isEmpty();
    }
    return List.of(name.split("[ /]", -1)).contains(String.valueOf(value)) || value.equals(name);
  }

  private static Object readComponent(RecordComponent component, Record entry) {
    try {
      var accessor = component.getAccessor();
      accessor.setAccessible(true);
      return accessor.invoke(entry);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(
          "cannot read record component " + component.getName() + " of " + entry.getClass(), e);
    }
  }
}

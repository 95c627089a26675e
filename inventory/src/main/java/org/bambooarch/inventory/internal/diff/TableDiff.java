package org.bambooarch.inventory.internal.diff;

import java.lang.reflect.RecordComponent;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

/**
 * Compares two tables of records that are identified by a name.
 *
 * @param <T> record type of the rows
 */
public final class TableDiff<T extends Record> {

  private final String kind;
  private final Function<T, String> nameOf;

  private TableDiff(String kind, Function<T, String> nameOf) {
    this.kind = kind;
    this.nameOf = nameOf;
  }

  /** Returns a comparison of rows of one kind. */
  public static <T extends Record> TableDiff<T> of(String kind, Function<T, String> nameOf) {
    return new TableDiff<>(kind, nameOf);
  }

  /** Appends one line for each removed, added or changed row. */
  public void compare(List<T> from, List<T> to, List<String> lines) {
    Map<String, T> before = byName(from);
    Map<String, T> after = byName(to);
    before.forEach(
        (name, row) -> {
          if (!after.containsKey(name)) {
            lines.add("- " + kind + " " + name);
          }
        });
    after.forEach(
        (name, row) -> {
          T old = before.get(name);
          if (old == null) {
            lines.add(added(name, row));
          } else if (!old.equals(row)) {
            lines.add("~ " + kind + " " + name + ":" + changes(old, row));
          }
        });
  }

  private Map<String, T> byName(List<T> rows) {
    Map<String, T> byName = new LinkedHashMap<>();
    for (T row : rows) {
      byName.put(nameOf.apply(row), row);
    }
    return byName;
  }

  private String added(String name, T row) {
    String fields = fields(row, name);
    return "+ " + kind + " " + name + (fields.isEmpty() ? "" : ":" + fields);
  }

  private static String fields(Record row, String name) {
    StringBuilder text = new StringBuilder();
    for (RecordComponent component : row.getClass().getRecordComponents()) {
      Object value = valueOf(component, row);
      if (value instanceof Record nested) {
        text.append(fields(nested, name));
      } else if (!isPartOfName(value, name)) {
        text.append(' ').append(component.getName()).append('=').append(value);
      }
    }
    return text.toString();
  }

  private static String changes(Record old, Record row) {
    StringBuilder text = new StringBuilder();
    for (RecordComponent component : row.getClass().getRecordComponents()) {
      Object before = valueOf(component, old);
      Object after = valueOf(component, row);
      if (Objects.equals(before, after)) {
        continue;
      }
      if (before instanceof Record nestedBefore && after instanceof Record nestedAfter) {
        text.append(changes(nestedBefore, nestedAfter));
        continue;
      }
      text.append(' ').append(component.getName()).append(' ');
      text.append(before).append(" -> ").append(after);
    }
    return text.toString();
  }

  /** A name that was just printed is not repeated as a field, nor is an empty list. */
  private static boolean isPartOfName(Object value, String name) {
    if (value instanceof List<?> list) {
      return list.isEmpty();
    }
    return List.of(name.split("[ /]", -1)).contains(String.valueOf(value)) || value.equals(name);
  }

  private static Object valueOf(RecordComponent component, Record row) {
    try {
      var accessor = component.getAccessor();
      accessor.setAccessible(true);
      return accessor.invoke(row);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(
          "record component " + component.getName() + " of " + row.getClass() + " is unreadable",
          e);
    }
  }
}

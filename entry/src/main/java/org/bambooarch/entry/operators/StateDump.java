package org.bambooarch.entry.operators;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Supplier;

/**
 * The state of one process as JSON, made of named sections.
 *
 * <p>Each concern adds one section that returns an immutable record; a section must not hold keys
 * or their digests.
 *
 * <pre>{@code
 * dump.add("membership", membership::summary);
 * }</pre>
 */
public final class StateDump {

  private static final ObjectWriter WRITER =
      JsonMapper.builder()
          .disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
          .build()
          .writerWithDefaultPrettyPrinter();

  private final Map<String, Supplier<?>> sections = new ConcurrentSkipListMap<>();

  /** Adds a section; the supplier may be called from any thread. */
  public StateDump add(String name, Supplier<?> section) {
    sections.put(name, section);
    return this;
  }

  /** Returns all sections at this moment, ordered by name. */
  public String toJson() throws JsonProcessingException {
    Map<String, Object> document = new LinkedHashMap<>();
    sections.forEach((name, section) -> document.put(name, section.get()));
    return WRITER.writeValueAsString(document);
  }
}

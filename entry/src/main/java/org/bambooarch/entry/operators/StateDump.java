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
 * The state of one process as JSON, composed of named sections.
 *
 * <p>Each component adds a section whose supplier returns an immutable record. A section must not
 * contain API keys or their digests.
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

  /** Adds a section; its supplier is called for each dump and must be safe on any thread. */
  public StateDump add(String name, Supplier<?> section) {
    sections.put(name, section);
    return this;
  }

  /** Returns the current content of all sections as JSON, ordered by name. */
  public String toJson() throws JsonProcessingException {
    Map<String, Object> document = new LinkedHashMap<>();
    sections.forEach((name, section) -> document.put(name, section.get()));
    return WRITER.writeValueAsString(document);
  }
}

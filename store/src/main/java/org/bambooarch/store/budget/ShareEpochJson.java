package org.bambooarch.store.budget;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.bambooarch.core.budget.ShareEpoch;

/** Converts a share epoch to the JSON text of its row and back. */
public final class ShareEpochJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ShareEpochJson() {}

  /** Returns the epoch as a JSON object. */
  public static String write(ShareEpoch epoch) {
    try {
      return MAPPER.writeValueAsString(epoch);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          "cannot write a share epoch as JSON, which must always be possible", e);
    }
  }

  /**
   * Reads an epoch from a JSON object.
   *
   * @throws ShareEpochFormatException if the text is not an epoch in JSON
   */
  public static ShareEpoch read(String json) throws ShareEpochFormatException {
    try {
      return MAPPER.readValue(json, ShareEpoch.class);
    } catch (JsonProcessingException e) {
      throw ShareEpochFormatException.notAnEpoch(json, e);
    }
  }
}

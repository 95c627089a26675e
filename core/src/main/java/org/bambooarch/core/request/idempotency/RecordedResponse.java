package org.bambooarch.core.request.idempotency;

import java.util.List;

/**
 * The answer of a target as it is kept for resends.
 *
 * @param status HTTP status
 * @param headers headers that callers see
 * @param body where the body is kept
 */
public record RecordedResponse(int status, List<RecordedHeader> headers, Body body) {

  /** The most bytes of a body that are kept in the table; longer ones go to the object store. */
  public static final int INLINE_LIMIT_BYTES = 16 * 1024;

  /** Copies the headers. */
  public RecordedResponse {
    headers = List.copyOf(headers);
  }

  /** Where the body of a recorded answer is kept. */
  public sealed interface Body {

    /**
     * A body kept in the row itself.
     *
     * @param base64 the bytes in Base64
     */
    record Inline(String base64) implements Body {}

    /**
     * A body kept in the object store.
     *
     * @param objectName name of the object
     * @param lengthBytes length of the object, checked when it is read
     */
    record Stored(String objectName, long lengthBytes) implements Body {}
  }
}

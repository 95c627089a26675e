package org.bambooarch.core.request.idempotency;

import java.util.List;

/**
 * The response of a target, recorded so that each further copy of the request gets the same one.
 *
 * @param status HTTP status
 * @param headers headers that are passed on to callers
 * @param body the body, or a reference to it
 */
public record RecordedResponse(int status, List<RecordedHeader> headers, Body body) {

  /** The most bytes of a body kept in the row; longer bodies are kept in the object store. */
  public static final int INLINE_LIMIT_BYTES = 16 * 1024;

  /** Copies the headers, so that later changes of the passed list have no effect. */
  public RecordedResponse {
    headers = List.copyOf(headers);
  }

  /** The body of a recorded response, or a reference to it. */
  public sealed interface Body {

    /**
     * A body kept in the row itself.
     *
     * @param base64 the bytes of the body in Base64
     */
    record Inline(String base64) implements Body {}

    /**
     * A body kept in the object store.
     *
     * @param objectName name of the object
     * @param lengthBytes length of the object in bytes, checked when it is read
     */
    record Stored(String objectName, long lengthBytes) implements Body {}
  }
}

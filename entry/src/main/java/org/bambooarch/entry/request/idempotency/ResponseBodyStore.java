package org.bambooarch.entry.request.idempotency;

import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.bambooarch.core.request.idempotency.IdempotencyRecordKey;
import org.bambooarch.core.request.idempotency.IdempotencyRecordOwner;
import org.bambooarch.core.request.idempotency.RecordedHeader;
import org.bambooarch.core.request.idempotency.RecordedResponse;
import org.bambooarch.core.request.idempotency.RequestDigest;
import org.bambooarch.store.ObjectStore;
import org.bambooarch.store.PlatformException;

/**
 * Stores the bodies of recorded responses: short ones inline in the record, long ones in the object
 * store. Calls for long bodies block.
 */
public final class ResponseBodyStore {

  private static final String OBJECT_NAME_PREFIX = "orders/";

  private final ObjectStore objects;

  /** Creates a store that writes long bodies to the object store. */
  public ResponseBodyStore(ObjectStore objects) {
    this.objects = objects;
  }

  /**
   * Stores the body and returns the response to record: with the body inline if it has at most
   * {@link RecordedResponse#INLINE_LIMIT_BYTES}, otherwise with the name and length of its object.
   *
   * @throws PlatformException if the object store did not confirm that it holds the body
   */
  public RecordedResponse store(
      IdempotencyRecordKey key,
      IdempotencyRecordOwner owner,
      int status,
      List<RecordedHeader> headers,
      byte[] body)
      throws PlatformException {
    if (body.length <= RecordedResponse.INLINE_LIMIT_BYTES) {
      String base64 = Base64.getEncoder().encodeToString(body);
      return new RecordedResponse(status, headers, new RecordedResponse.Body.Inline(base64));
    }
    String name = objectName(key, owner);
    objects.put(name, body);
    return new RecordedResponse(
        status, headers, new RecordedResponse.Body.Stored(name, body.length));
  }

  /**
   * Returns the body of a recorded response; empty if its object is missing or does not have the
   * recorded length.
   *
   * @throws PlatformException if the object store cannot be read
   */
  public Optional<byte[]> bodyOf(RecordedResponse response) throws PlatformException {
    return switch (response.body()) {
      case RecordedResponse.Body.Inline(String base64) ->
          Optional.of(Base64.getDecoder().decode(base64));
      case RecordedResponse.Body.Stored(String name, long lengthBytes) ->
          objects.get(name).filter(body -> body.length == lengthBytes);
    };
  }

  private static String objectName(IdempotencyRecordKey key, IdempotencyRecordOwner owner) {
    String digest = RequestDigest.of("ORDER", key.rowKey(), new byte[0]).hex();
    return OBJECT_NAME_PREFIX + digest + "/" + owner.instance() + "." + owner.incarnation();
  }
}

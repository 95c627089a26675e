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

/** Keeps the bodies of recorded answers: short ones in the row, long ones in the object store. */
public final class ResponseBodyStore {

  private static final String OBJECT_NAME_PREFIX = "orders/";

  private final ObjectStore objects;

  /** Creates an archive over the object store. */
  public ResponseBodyStore(ObjectStore objects) {
    this.objects = objects;
  }

  /**
   * Returns the answer as it is recorded, after a long body was stored.
   *
   * @throws PlatformException if the object store does not take the body
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

  /** Returns the body of a recorded answer, or empty when the store no longer has all of it. */
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

package org.bambooarch.entry.request.idempotency;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.request.idempotency.IdempotencyRecord;
import org.bambooarch.core.request.idempotency.IdempotencyRecordOwner;
import org.bambooarch.core.request.idempotency.IdempotencyRecordState;
import org.bambooarch.core.request.idempotency.RecordedHeader;
import org.bambooarch.core.request.idempotency.RecordedResponse;
import org.bambooarch.core.request.idempotency.RequestDigest;

/** Writes and reads the rows of recorded requests as JSON. */
final class IdempotencyRecordJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private IdempotencyRecordJson() {}

  static String toJson(IdempotencyRecord record) {
    ObjectNode row = MAPPER.createObjectNode();
    row.put("digest", record.digest().hex());
    row.put("instance", record.owner().instance());
    row.put("incarnation", record.owner().incarnation());
    row.put("attempt", record.owner().attempt());
    row.put("expiresAtWallMillis", record.expiresAtWallMillis());
    switch (record.state()) {
      case IdempotencyRecordState.Pending(long deadline) ->
          row.put("state", "pending").put("answerDeadlineWallMillis", deadline);
      case IdempotencyRecordState.Released() -> row.put("state", "released");
      case IdempotencyRecordState.Unknown() -> row.put("state", "unknown");
      case IdempotencyRecordState.Done(RecordedResponse response) ->
          writeResponse(row.put("state", "done"), response);
    }
    return row.toString();
  }

  static IdempotencyRecord fromJson(String text) throws JsonProcessingException {
    JsonNode row = MAPPER.readTree(text);
    IdempotencyRecordOwner owner =
        new IdempotencyRecordOwner(
            row.path("instance").asText(),
            row.path("incarnation").asLong(),
            row.path("attempt").asLong());
    return new IdempotencyRecord(
        new RequestDigest(row.path("digest").asText()),
        owner,
        readState(row),
        row.path("expiresAtWallMillis").asLong());
  }

  private static void writeResponse(ObjectNode row, RecordedResponse response) {
    ObjectNode json = row.putObject("answer").put("status", response.status());
    for (RecordedHeader header : response.headers()) {
      json.withArray("headers").addArray().add(header.name()).add(header.value());
    }
    switch (response.body()) {
      case RecordedResponse.Body.Inline(String base64) -> json.put("base64", base64);
      case RecordedResponse.Body.Stored(String objectName, long lengthBytes) ->
          json.put("object", objectName).put("lengthBytes", lengthBytes);
    }
  }

  private static IdempotencyRecordState readState(JsonNode row) {
    return switch (row.path("state").asText()) {
      case "pending" ->
          new IdempotencyRecordState.Pending(row.path("answerDeadlineWallMillis").asLong());
      case "released" -> new IdempotencyRecordState.Released();
      case "done" -> new IdempotencyRecordState.Done(readResponse(row.path("answer")));
      default -> new IdempotencyRecordState.Unknown();
    };
  }

  private static RecordedResponse readResponse(JsonNode response) {
    List<RecordedHeader> headers = new ArrayList<>();
    for (JsonNode header : response.path("headers")) {
      headers.add(new RecordedHeader(header.path(0).asText(), header.path(1).asText()));
    }
    RecordedResponse.Body body =
        response.has("object")
            ? new RecordedResponse.Body.Stored(
                response.path("object").asText(), response.path("lengthBytes").asLong())
            : new RecordedResponse.Body.Inline(response.path("base64").asText());
    return new RecordedResponse(response.path("status").asInt(), headers, body);
  }
}

package org.bambooarch.entry.request.order;

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
final class OrderRowJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private OrderRowJson() {}

  static String write(IdempotencyRecord record) {
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
      case IdempotencyRecordState.Done(RecordedResponse answer) ->
          writeAnswer(row.put("state", "done"), answer);
    }
    return row.toString();
  }

  static IdempotencyRecord read(String text) throws JsonProcessingException {
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

  private static void writeAnswer(ObjectNode row, RecordedResponse answer) {
    ObjectNode written = row.putObject("answer").put("status", answer.status());
    for (RecordedHeader header : answer.headers()) {
      written.withArray("headers").addArray().add(header.name()).add(header.value());
    }
    switch (answer.body()) {
      case RecordedResponse.Body.Inline(String base64) -> written.put("base64", base64);
      case RecordedResponse.Body.Stored(String objectName, long lengthBytes) ->
          written.put("object", objectName).put("lengthBytes", lengthBytes);
    }
  }

  private static IdempotencyRecordState readState(JsonNode row) {
    return switch (row.path("state").asText()) {
      case "pending" ->
          new IdempotencyRecordState.Pending(row.path("answerDeadlineWallMillis").asLong());
      case "released" -> new IdempotencyRecordState.Released();
      case "done" -> new IdempotencyRecordState.Done(readAnswer(row.path("answer")));
      default -> new IdempotencyRecordState.Unknown();
    };
  }

  private static RecordedResponse readAnswer(JsonNode answer) {
    List<RecordedHeader> headers = new ArrayList<>();
    for (JsonNode header : answer.path("headers")) {
      headers.add(new RecordedHeader(header.path(0).asText(), header.path(1).asText()));
    }
    RecordedResponse.Body body =
        answer.has("object")
            ? new RecordedResponse.Body.Stored(
                answer.path("object").asText(), answer.path("lengthBytes").asLong())
            : new RecordedResponse.Body.Inline(answer.path("base64").asText());
    return new RecordedResponse(answer.path("status").asInt(), headers, body);
  }
}

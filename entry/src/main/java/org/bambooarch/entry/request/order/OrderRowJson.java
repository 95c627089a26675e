package org.bambooarch.entry.request.order;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.bambooarch.core.request.order.AnswerHeader;
import org.bambooarch.core.request.order.OrderOwner;
import org.bambooarch.core.request.order.OrderRecord;
import org.bambooarch.core.request.order.OrderState;
import org.bambooarch.core.request.order.RecordedAnswer;
import org.bambooarch.core.request.order.RequestDigest;

/** Writes and reads the rows of recorded requests as JSON. */
final class OrderRowJson {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private OrderRowJson() {}

  static String write(OrderRecord record) {
    ObjectNode row = MAPPER.createObjectNode();
    row.put("digest", record.digest().hex());
    row.put("instance", record.owner().instance());
    row.put("incarnation", record.owner().incarnation());
    row.put("attempt", record.owner().attempt());
    row.put("expiresAtWallMillis", record.expiresAtWallMillis());
    switch (record.state()) {
      case OrderState.Pending(long deadline) ->
          row.put("state", "pending").put("answerDeadlineWallMillis", deadline);
      case OrderState.Released() -> row.put("state", "released");
      case OrderState.Unknown() -> row.put("state", "unknown");
      case OrderState.Done(RecordedAnswer answer) -> writeAnswer(row.put("state", "done"), answer);
    }
    return row.toString();
  }

  static OrderRecord read(String text) throws JsonProcessingException {
    JsonNode row = MAPPER.readTree(text);
    OrderOwner owner =
        new OrderOwner(
            row.path("instance").asText(),
            row.path("incarnation").asLong(),
            row.path("attempt").asLong());
    return new OrderRecord(
        new RequestDigest(row.path("digest").asText()),
        owner,
        readState(row),
        row.path("expiresAtWallMillis").asLong());
  }

  private static void writeAnswer(ObjectNode row, RecordedAnswer answer) {
    ObjectNode written = row.putObject("answer").put("status", answer.status());
    for (AnswerHeader header : answer.headers()) {
      written.withArray("headers").addArray().add(header.name()).add(header.value());
    }
    switch (answer.body()) {
      case RecordedAnswer.Body.Inline(String base64) -> written.put("base64", base64);
      case RecordedAnswer.Body.Stored(String objectName, long lengthBytes) ->
          written.put("object", objectName).put("lengthBytes", lengthBytes);
    }
  }

  private static OrderState readState(JsonNode row) {
    return switch (row.path("state").asText()) {
      case "pending" -> new OrderState.Pending(row.path("answerDeadlineWallMillis").asLong());
      case "released" -> new OrderState.Released();
      case "done" -> new OrderState.Done(readAnswer(row.path("answer")));
      default -> new OrderState.Unknown();
    };
  }

  private static RecordedAnswer readAnswer(JsonNode answer) {
    List<AnswerHeader> headers = new ArrayList<>();
    for (JsonNode header : answer.path("headers")) {
      headers.add(new AnswerHeader(header.path(0).asText(), header.path(1).asText()));
    }
    RecordedAnswer.Body body =
        answer.has("object")
            ? new RecordedAnswer.Body.Stored(
                answer.path("object").asText(), answer.path("lengthBytes").asLong())
            : new RecordedAnswer.Body.Inline(answer.path("base64").asText());
    return new RecordedAnswer(answer.path("status").asInt(), headers, body);
  }
}

package org.bambooarch.entry.request;

import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.bambooarch.core.request.header.HeaderField;
import org.bambooarch.core.request.header.HeaderRules;
import org.bambooarch.core.request.idempotency.RecordedHeader;

/** Converts headers between the HTTP library and the header rules. */
final class HeaderConverter {

  private static final Set<String> UNRECORDED_HEADERS = Set.of("content-length", "date", "server");

  private HeaderConverter() {}

  static List<HeaderField> toFields(HttpHeaders headers) {
    List<HeaderField> fields = new ArrayList<>(headers.size());
    headers.forEach((name, value) -> fields.add(new HeaderField(name.toString(), value)));
    return fields;
  }

  static ResponseHeaders toCallerHeaders(ResponseHeaders received, CallerRequest request) {
    ResponseHeadersBuilder headers = ResponseHeaders.builder(received.status());
    for (HeaderField field : HeaderRules.responseHeadersForCaller(toFields(received))) {
      headers.add(field.name(), field.value());
    }
    return headers.set(HeaderRules.REQUEST_ID, request.requestId()).build();
  }

  static List<RecordedHeader> toRecordedHeaders(ResponseHeaders received) {
    List<RecordedHeader> recorded = new ArrayList<>();
    for (HeaderField field : HeaderRules.responseHeadersForCaller(toFields(received))) {
      if (!UNRECORDED_HEADERS.contains(field.name())) {
        recorded.add(new RecordedHeader(field.name(), field.value()));
      }
    }
    return recorded;
  }

  static ResponseHeaders toReplayHeaders(
      int status, List<RecordedHeader> recorded, String requestId) {
    ResponseHeadersBuilder headers = ResponseHeaders.builder(HttpStatus.valueOf(status));
    recorded.forEach(header -> headers.add(header.name(), header.value()));
    return headers.set(HeaderRules.REQUEST_ID, requestId).build();
  }
}

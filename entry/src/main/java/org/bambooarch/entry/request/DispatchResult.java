package org.bambooarch.entry.request;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpResponse;
import org.bambooarch.core.request.Refusal;

/** The result of sending a request to targets, from the viewpoint of its caller. */
sealed interface DispatchResult {

  /** The whole response has been received. */
  record Aggregated(AggregatedHttpResponse response) implements DispatchResult {}

  /** The response has begun and is streamed to the caller while it arrives. */
  record Streaming(HttpResponse response) implements DispatchResult {}

  /** No response can be passed on; the caller gets the refusal. */
  record Refused(Refusal refusal) implements DispatchResult {}
}

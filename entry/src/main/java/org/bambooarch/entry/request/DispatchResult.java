package org.bambooarch.entry.request;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpResponse;
import org.bambooarch.core.request.Refusal;

/** How the sending of a request to targets ended, as far as its caller is concerned. */
sealed interface DispatchResult {

  /** The whole answer is here. */
  record Aggregated(AggregatedHttpResponse response) implements DispatchResult {}

  /** The answer has begun and is passed on while it arrives. */
  record Streaming(HttpResponse response) implements DispatchResult {}

  /** The request is refused. */
  record Refused(Refusal refusal) implements DispatchResult {}
}

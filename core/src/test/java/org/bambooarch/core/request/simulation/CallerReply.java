package org.bambooarch.core.request.simulation;

import org.bambooarch.core.request.Refusal;

/** What a caller got for one {@link CallerAttempt}. */
sealed interface CallerReply {

  record Response(String body) implements CallerReply {}

  record Refused(Refusal refusal) implements CallerReply {}

  record NoReply() implements CallerReply {}
}

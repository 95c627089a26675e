package org.bambooarch.core.request.run;

import org.bambooarch.core.request.Refusal;

/** What a caller got for one send. */
sealed interface RunReply {

  record Answer(String body) implements RunReply {}

  record Refused(Refusal refusal) implements RunReply {}

  record Nothing() implements RunReply {}
}

package org.bambooarch.core.request;

import java.util.Optional;
import java.util.Set;
import org.bambooarch.core.request.crash.CrashStatus;

/** What the driver of a {@link RequestStateMachine} must do next. */
public sealed interface RequestStep {

  /**
   * Choose a server and send the request to it, or report that none is available.
   *
   * @param excludedServers names of servers that must not be chosen, because the request was sent
   *     to them before
   * @param suspect present if the request is suspected of crashing its targets; the server is then
   *     chosen by {@code SuspectServerChoice}
   */
  record Send(Set<String> excludedServers, Optional<CrashStatus.Suspect> suspect)
      implements RequestStep {}

  /**
   * Wait, then call {@link RequestStateMachine#reevaluate}.
   *
   * @param untilNanos monotonic time at which the wait ends
   */
  record Wait(long untilNanos) implements RequestStep {}

  /** The whole response was received; the caller has it or gets it now. */
  record Finished() implements RequestStep {}

  /** Refuse the request; no further attempt is made. */
  record Refuse(Refusal refusal) implements RequestStep {}
}

package org.bambooarch.core.request;

import java.util.Optional;
import java.util.Set;
import org.bambooarch.core.request.crash.CrashStatus;

/** What must happen next to a request that is being sent to targets. */
public sealed interface RequestStep {

  /**
   * Choose a server and send the request to it.
   *
   * @param excludedServers names of servers that must not be chosen
   * @param suspect standing that fixes the choice, if the request is suspected
   */
  record Send(Set<String> excludedServers, Optional<CrashStatus.Suspect> suspect)
      implements RequestStep {}

  /**
   * Wait until a stored moment, then ask the life again.
   *
   * @param untilNanos monotonic moment
   */
  record Wait(long untilNanos) implements RequestStep {}

  /** The caller has, or now gets, the whole answer. */
  record Finished() implements RequestStep {}

  /** The request is refused. */
  record Refuse(Refusal refusal) implements RequestStep {}
}

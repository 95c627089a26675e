package org.bambooarch.cli.config;

import org.bambooarch.store.config.ConfigRepository.Head;

/** The outcome of a proposed change of the configuration. */
public sealed interface ProposalOutcome {

  /**
   * The change is accepted.
   *
   * @param version version of the configuration after the change
   * @param readBack whether the platform's answer was lost and the change was found by reading it
   *     back
   */
  record Accepted(long version, boolean readBack) implements ProposalOutcome {}

  /**
   * Another change came first; this one was not accepted.
   *
   * @param other the change that was accepted instead
   */
  record Conflict(Head other) implements ProposalOutcome {}

  /**
   * The call to the platform failed and certainly had no effect.
   *
   * @param reason message of the failure
   */
  record NotApplied(String reason) implements ProposalOutcome {}

  /**
   * It is not known whether the change was accepted.
   *
   * @param changeId identifier by which the change can be looked for later
   * @param reason message of the failure
   */
  record Unknown(String changeId, String reason) implements ProposalOutcome {}
}

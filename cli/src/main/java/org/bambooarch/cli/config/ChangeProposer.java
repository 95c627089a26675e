package org.bambooarch.cli.config;

import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.platform.NotAppliedException;
import org.bambooarch.platform.PlatformException;
import org.bambooarch.platform.config.ConfigRepository;
import org.bambooarch.platform.config.ConfigRepository.Head;
import org.bambooarch.platform.config.ConfigRepository.ProposeResult;

/**
 * Proposes changes and finds out what became of them, also when an answer is lost.
 *
 * <p>After a lost answer the same change is proposed again with the same identifier and the same
 * expected version. At most one of the two writes can take effect; a conflict with the change's own
 * identifier shows that the first one did.
 */
public final class ChangeProposer {

  private static final int ATTEMPTS = 3;

  private final ConfigRepository repository;
  private final String author;

  /** Creates a proposer that signs changes with an author's name. */
  public ChangeProposer(ConfigRepository repository, String author) {
    this.repository = repository;
    this.author = author;
  }

  /** Proposes a change on top of an expected version. */
  public ProposalOutcome propose(long expectedVersion, String changeId, ConfigChange change)
      throws InvalidInventoryException {
    String lastReason = "";
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      boolean answerLost = attempt > 0;
      try {
        ProposeResult result = repository.propose(expectedVersion, changeId, author, change);
        return outcome(result, expectedVersion, changeId, answerLost);
      } catch (PlatformException e) {
        boolean nothingSent = e instanceof NotAppliedException && !answerLost;
        if (nothingSent) {
          return new ProposalOutcome.NotApplied(e.getMessage());
        }
        lastReason = e.getMessage();
      }
    }
    return new ProposalOutcome.Unknown(changeId, lastReason);
  }

  private static ProposalOutcome outcome(
      ProposeResult result, long expectedVersion, String changeId, boolean answerLost) {
    return switch (result) {
      case ProposeResult.Accepted accepted ->
          new ProposalOutcome.Accepted(accepted.head().version(), answerLost);
      case ProposeResult.Conflict conflict ->
          conflictOutcome(conflict.other(), expectedVersion, changeId, answerLost);
    };
  }

  private static ProposalOutcome conflictOutcome(
      Head other, long expectedVersion, String changeId, boolean answerLost) {
    if (other.changeId().equals(changeId)) {
      return new ProposalOutcome.Accepted(other.version(), true);
    }
    boolean ownChangeMayBeBeneath = answerLost && other.version() > expectedVersion + 1;
    if (ownChangeMayBeBeneath) {
      return new ProposalOutcome.Unknown(
          changeId, "an answer was lost and later changes followed up to " + other.version());
    }
    return new ProposalOutcome.Conflict(other);
  }
}

package org.bambooarch.cli.config;

import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.platform.NotAppliedException;
import org.bambooarch.platform.PlatformException;
import org.bambooarch.platform.config.ConfigRepository;
import org.bambooarch.platform.config.ConfigRepository.ProposeResult;

/**
 * Proposes changes and tells operators what became of them.
 *
 * <p>The repository resolves lost answers by reading back. If the platform stays silent, the same
 * change is proposed once more with the same identifier and the same expected version, which cannot
 * take effect twice.
 */
public final class ChangeProposer {

  private static final int ATTEMPTS = 2;

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
    boolean mayBeAccepted = false;
    String lastReason = "";
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      try {
        return outcome(repository.propose(expectedVersion, changeId, author, change));
      } catch (PlatformException e) {
        mayBeAccepted |= !(e instanceof NotAppliedException);
        lastReason = e.getMessage();
      }
    }
    return mayBeAccepted
        ? new ProposalOutcome.Unknown(changeId, lastReason)
        : new ProposalOutcome.NotApplied(lastReason);
  }

  private static ProposalOutcome outcome(ProposeResult result) {
    return switch (result) {
      case ProposeResult.Accepted accepted ->
          new ProposalOutcome.Accepted(accepted.head().version());
      case ProposeResult.Conflict conflict -> new ProposalOutcome.Conflict(conflict.other());
    };
  }
}

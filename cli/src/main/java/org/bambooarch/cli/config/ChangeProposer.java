package org.bambooarch.cli.config;

import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.store.NotAppliedException;
import org.bambooarch.store.PlatformException;
import org.bambooarch.store.config.ConfigRepository;
import org.bambooarch.store.config.ConfigRepository.ProposeResult;

/**
 * Proposes changes of the configuration and returns their outcomes, also those of failed calls.
 *
 * <p>If the answer to a commit is lost, the repository reads back whether the change was accepted.
 */
public final class ChangeProposer {

  private final ConfigRepository repository;
  private final String author;

  /** Creates a proposer whose changes carry an author's name. */
  public ChangeProposer(ConfigRepository repository, String author) {
    this.repository = repository;
    this.author = author;
  }

  /**
   * Proposes a change on top of an expected version.
   *
   * @param changeId unique identifier of the change
   * @throws InvalidInventoryException if the stored configuration cannot be read
   */
  public ProposalOutcome propose(long expectedVersion, String changeId, ConfigChange change)
      throws InvalidInventoryException {
    try {
      return outcome(repository.propose(expectedVersion, changeId, author, change));
    } catch (NotAppliedException e) {
      return new ProposalOutcome.NotApplied(e.getMessage());
    } catch (PlatformException e) {
      return new ProposalOutcome.Unknown(changeId, e.getMessage());
    }
  }

  private static ProposalOutcome outcome(ProposeResult result) {
    return switch (result) {
      case ProposeResult.Accepted accepted ->
          new ProposalOutcome.Accepted(accepted.head().version(), accepted.readBack());
      case ProposeResult.Conflict conflict -> new ProposalOutcome.Conflict(conflict.other());
    };
  }
}

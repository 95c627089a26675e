package org.bambooarch.cli.config;

import java.util.UUID;
import joptsimple.OptionSet;
import org.bambooarch.cli.CommandErrors;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.store.PlatformException;
import org.bambooarch.store.config.ConfigRepository;

/** Reads the configuration from the platform and changes it, for one run of a command. */
public final class ConfigSession {

  private static final int MAX_ATTEMPTS = 5;
  private static final String CONFLICT_MESSAGE =
      "conflict: expected version %d, but change %s by %s came first as version %d;"
          + " nothing was changed; run plan again";
  private static final String UNKNOWN_MESSAGE =
      "it is not known whether change %s was accepted (%s);"
          + " run plan to see what is accepted before trying again";

  private final ConfigRepository repository;
  private final String uri;

  private ConfigSession(ConfigRepository repository, String uri) {
    this.repository = repository;
    this.uri = uri;
  }

  /** Returns a session with the platform that the command's options name. */
  public static ConfigSession of(OptionSet options) {
    return new ConfigSession(PlatformOptions.repository(options), PlatformOptions.uri(options));
  }

  /**
   * Reads the newest accepted configuration.
   *
   * @throws CommandException if the platform does not answer, or if this version of the command
   *     cannot read the stored configuration
   */
  public ConfigState readNewest() throws CommandException {
    try {
      return repository.catchUp(ConfigState.initial());
    } catch (PlatformException e) {
      throw CommandErrors.platformUnreachable(uri, e);
    } catch (InvalidInventoryException e) {
      throw CommandErrors.storedConfigUnreadable(e);
    }
  }

  /**
   * Proposes a change on top of an expected version.
   *
   * @throws CommandException if the change was not accepted, or if it is not known whether it was
   */
  public ProposalOutcome.Accepted propose(String author, long expectedVersion, ConfigChange change)
      throws CommandException {
    ChangeProposer proposer = new ChangeProposer(repository, author);
    String changeId = UUID.randomUUID().toString();
    try {
      return requireAccepted(proposer.propose(expectedVersion, changeId, change), expectedVersion);
    } catch (InvalidInventoryException e) {
      throw CommandErrors.storedConfigUnreadable(e);
    }
  }

  /**
   * Proposes a change on top of the newest version, whatever that is. For changes that do not
   * depend on what other operators change meanwhile.
   *
   * <p>If another change comes first, the change is created anew from the newer configuration and
   * proposed again, up to five attempts in all.
   *
   * @throws CommandException as {@link #propose} does, and if the last attempt conflicts too
   */
  public ProposalOutcome.Accepted proposeOnNewest(String author, ChangeFactory changes)
      throws CommandException {
    for (int attempt = 1; ; attempt++) {
      ConfigState newest = readNewest();
      try {
        return propose(author, newest.version(), changes.createFor(newest));
      } catch (CommandException e) {
        if (e.exitCode() != ExitCode.CONFLICT || attempt == MAX_ATTEMPTS) {
          throw e;
        }
      }
    }
  }

  /** Creates a change from the newest configuration; called once for each attempt. */
  @FunctionalInterface
  public interface ChangeFactory {

    /** Returns the change, or throws if it refers to something that this configuration lacks. */
    ConfigChange createFor(ConfigState newest) throws CommandException;
  }

  private ProposalOutcome.Accepted requireAccepted(ProposalOutcome outcome, long expectedVersion)
      throws CommandException {
    return switch (outcome) {
      case ProposalOutcome.Accepted accepted -> accepted;
      case ProposalOutcome.Conflict conflict ->
          throw new CommandException(
              ExitCode.CONFLICT,
              CONFLICT_MESSAGE.formatted(
                  expectedVersion,
                  conflict.other().changeId(),
                  conflict.other().author(),
                  conflict.other().version()));
      case ProposalOutcome.NotApplied notApplied ->
          throw new CommandException(
              ExitCode.UNREACHABLE,
              "the platform at %s does not answer (%s); nothing was changed; try again"
                  .formatted(uri, notApplied.reason()));
      case ProposalOutcome.Unknown unknown ->
          throw new CommandException(
              ExitCode.UNKNOWN, UNKNOWN_MESSAGE.formatted(unknown.changeId(), unknown.reason()));
    };
  }
}

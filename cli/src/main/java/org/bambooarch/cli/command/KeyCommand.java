package org.bambooarch.cli.command;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.cli.Command;
import org.bambooarch.cli.CommandErrors;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.cli.config.ConfigSession;
import org.bambooarch.cli.config.PlatformOptions;
import org.bambooarch.cli.config.ProposalOutcome;
import org.bambooarch.core.config.ConfigChange;
import org.bambooarch.core.config.ConfigState;
import org.bambooarch.core.config.IssuedKey;
import org.bambooarch.core.key.KeyDigest;

/**
 * Issues, lists and withdraws API keys of customers.
 *
 * <p>Only digests of keys are stored, so a key is printed once, when it is issued. Later a key is
 * named by its id, the first 16 characters of its digest.
 */
final class KeyCommand implements Command {

  private static final String EXPECTED_ARGUMENTS = "issue CUSTOMER, list, or withdraw KEY-ID";
  private static final int KEY_BYTES = 32;
  private static final int KEY_ID_CHARACTERS = 16;

  @Override
  public String name() {
    return "key";
  }

  @Override
  public String arguments() {
    return "issue CUSTOMER | list | withdraw KEY-ID";
  }

  @Override
  public String summary() {
    return "issue, list or withdraw keys of customers";
  }

  @Override
  public void declareOptions(OptionParser options) {
    PlatformOptions.declareForChanges(options);
  }

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    List<String> arguments = options.nonOptionArguments().stream().map(String::valueOf).toList();
    String action = arguments.isEmpty() ? "" : arguments.getFirst();
    int expectedCount = action.equals("list") ? 1 : 2;
    if (arguments.size() != expectedCount) {
      throw CommandErrors.wrongArguments(EXPECTED_ARGUMENTS, arguments);
    }
    switch (action) {
      case "issue" -> issue(arguments.get(1), options, console);
      case "list" -> list(options, console);
      case "withdraw" -> withdraw(arguments.get(1), options, console);
      default -> throw CommandErrors.wrongArguments(EXPECTED_ARGUMENTS, arguments);
    }
    return ExitCode.DONE;
  }

  private static void issue(String customer, OptionSet options, Console console)
      throws CommandException {
    String key = newKey();
    String digest = KeyDigest.of(key);
    ProposalOutcome.Accepted accepted =
        ConfigSession.of(options)
            .proposeOnNewest(
                PlatformOptions.author(options),
                newest -> {
                  requireCustomer(newest, customer);
                  return new ConfigChange.IssueKey(digest, customer);
                });
    console.printLine("key %s", key);
    console.printLine(
        "id %s customer %s version %d; the key is shown only now",
        digest.substring(0, KEY_ID_CHARACTERS), customer, accepted.version());
  }

  private static void list(OptionSet options, Console console) throws CommandException {
    List<IssuedKey> keys =
        ConfigSession.of(options).readNewest().keysByDigest().values().stream()
            .sorted(
                Comparator.comparing(IssuedKey::customer)
                    .thenComparing(IssuedKey::withdrawn)
                    .thenComparing(IssuedKey::digest))
            .toList();
    for (IssuedKey key : keys) {
      String state = key.withdrawn() ? "withdrawn" : "valid";
      console.printLine(
          "%s %-9s %s", key.digest().substring(0, KEY_ID_CHARACTERS), state, key.customer());
    }
    console.printLine("%d keys", keys.size());
  }

  private static void withdraw(String keyId, OptionSet options, Console console)
      throws CommandException {
    ProposalOutcome.Accepted accepted =
        ConfigSession.of(options)
            .proposeOnNewest(
                PlatformOptions.author(options),
                newest -> new ConfigChange.WithdrawKey(findDigest(newest, keyId)));
    console.printLine("withdrawn %s version %d", keyId, accepted.version());
  }

  private static void requireCustomer(ConfigState newest, String customer) throws CommandException {
    boolean known =
        newest.inventory().customers().stream().anyMatch(row -> row.name().equals(customer));
    if (!known) {
      throw new CommandException(
          ExitCode.USAGE,
          "no customer \"%s\" at version %d; add it to customers.json and apply first"
              .formatted(customer, newest.version()));
    }
  }

  private static String findDigest(ConfigState newest, String keyId) throws CommandException {
    List<String> found =
        newest.keysByDigest().keySet().stream().filter(digest -> digest.startsWith(keyId)).toList();
    if (keyId.length() < KEY_ID_CHARACTERS || found.size() != 1) {
      throw new CommandException(
          ExitCode.USAGE, "no key with id \"%s\"; key list prints all ids".formatted(keyId));
    }
    return found.getFirst();
  }

  private static String newKey() {
    byte[] random = new byte[KEY_BYTES];
    new SecureRandom().nextBytes(random);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(random);
  }
}

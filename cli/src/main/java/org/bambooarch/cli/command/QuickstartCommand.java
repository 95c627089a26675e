package org.bambooarch.cli.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.cli.Command;
import org.bambooarch.cli.CommandErrors;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.cli.quickstart.LoadSummary;
import org.bambooarch.cli.quickstart.LoopbackFleet;
import org.bambooarch.cli.quickstart.Quickstart;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.store.PlatformException;

/** Demonstrates the system: runs all parts in one process on loopback ports and sends requests. */
final class QuickstartCommand implements Command {

  private static final int DEFAULT_REQUESTS = 40;

  @Override
  public String name() {
    return "quickstart";
  }

  @Override
  public String arguments() {
    return "[--stay]";
  }

  @Override
  public String summary() {
    return "start stand-ins and three instances in one process, apply an example, send requests";
  }

  @Override
  public void declareOptions(OptionParser options) {
    options
        .accepts("inventory", "inventory directory")
        .withRequiredArg()
        .defaultsTo(defaultInventory());
    options
        .accepts("requests", "number of requests that each customer sends")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(DEFAULT_REQUESTS);
    options.accepts("stay", "keep running until a signal, and print curl commands to try");
  }

  /**
   * Returns the path of the example inventory, below the repository root that the start script
   * passes as a system property or, without that, below the working directory.
   */
  private static String defaultInventory() {
    return Path.of(System.getProperty("bambooarch.home", ""), "examples", "swatchnet").toString();
  }

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    Arguments.positional(0, "no arguments", options);
    Inventory declared =
        Arguments.readInventory(Path.of((String) options.valueOf("inventory")), console);
    try (LoopbackFleet fleet = LoopbackFleet.start(declared)) {
      Quickstart quickstart = new Quickstart(fleet, console);
      LoadSummary summary = quickstart.run((Integer) options.valueOf("requests"));
      if (options.has("stay")) {
        quickstart.printCurlLines();
        StopSignals.install(() -> {}).await();
      }
      return summary.areAllAnswered() ? ExitCode.DONE : ExitCode.FAILED;
    } catch (PlatformException | InvalidInventoryException | IOException e) {
      throw new CommandException(ExitCode.FAILED, "the quickstart failed: " + e, e);
    } catch (CompletionException e) {
      throw CommandErrors.cannotListen("a part of the quickstart", e);
    }
  }
}

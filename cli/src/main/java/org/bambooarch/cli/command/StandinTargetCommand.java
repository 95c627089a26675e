package org.bambooarch.cli.command;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.cli.Command;
import org.bambooarch.cli.CommandErrors;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.cli.quickstart.StandinTargets;
import org.bambooarch.core.inventory.Server;

/** Runs stand-ins of an inventory's servers until a signal, for trials only. */
final class StandinTargetCommand implements Command {

  @Override
  public String name() {
    return "standin-target";
  }

  @Override
  public String arguments() {
    return "DIRECTORY";
  }

  @Override
  public String summary() {
    return "run stand-ins of an inventory's servers on their ports, for trials only";
  }

  @Override
  public void declareOptions(OptionParser options) {
    options
        .accepts("data-centre", "only the servers of this data centre")
        .withRequiredArg()
        .defaultsTo("");
    options.accepts("server", "only the server of this name").withRequiredArg().defaultsTo("");
  }

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    String directory = Arguments.positional(1, "one inventory directory", options).getFirst();
    String dataCentre = (String) options.valueOf("data-centre");
    String name = (String) options.valueOf("server");
    List<Server> servers =
        Arguments.readInventory(Path.of(directory), console).servers().stream()
            .filter(server -> dataCentre.isEmpty() || server.dataCentre().equals(dataCentre))
            .filter(server -> name.isEmpty() || server.name().equals(name))
            .toList();
    try (StandinTargets targets = StandinTargets.startOnDeclaredPorts(servers)) {
      console.printLine("%d stand-in targets", targets.count());
      StopSignals.install(() -> {}).await();
    } catch (CompletionException e) {
      throw CommandErrors.cannotListen("a stand-in target", e);
    }
    return ExitCode.DONE;
  }
}

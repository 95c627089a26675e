package org.bambooarch.cli.command;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.cli.Command;
import org.bambooarch.cli.CommandErrors;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.entry.EntryInstance;
import org.bambooarch.entry.EntrySettings;
import org.bambooarch.store.PlatformException;

/**
 * Runs an entry instance in this process until SIGTERM or SIGINT.
 *
 * <p>The first signal starts a graceful shutdown; a further one cuts it short.
 */
final class EntryCommand implements Command {

  private static final long DEFAULT_GRACE_MILLIS = 60_000;

  @Override
  public String name() {
    return "entry";
  }

  @Override
  public String arguments() {
    return "--settings FILE";
  }

  @Override
  public String summary() {
    return "run an entry instance until a signal stops it";
  }

  @Override
  public void declareOptions(OptionParser options) {
    options.accepts(Arguments.SETTINGS, "JSON settings file").withRequiredArg().required();
    options
        .accepts("grace-millis", "longest time for a graceful shutdown, in ms")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(DEFAULT_GRACE_MILLIS);
  }

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    Arguments.positional(0, "no arguments", options);
    EntrySettings settings = Arguments.readSettings(options, EntrySettings.class, console);
    EntryInstance instance = start(settings);
    StopSignals signals = StopSignals.install(instance::stopNow);
    signals.await();
    instance.stopGracefully(Duration.ofMillis((Long) options.valueOf("grace-millis")));
    return ExitCode.DONE;
  }

  private static EntryInstance start(EntrySettings settings) throws CommandException {
    try {
      return EntryInstance.start(settings);
    } catch (PlatformException e) {
      throw CommandErrors.platformUnreachable(settings.platformUri(), e);
    } catch (CompletionException e) {
      throw CommandErrors.cannotListen("instance " + settings.name(), e);
    }
  }
}

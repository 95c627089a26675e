package org.bambooarch.cli.command;

import java.io.IOException;
import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.cli.Command;
import org.bambooarch.cli.CommandErrors;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.gateway.Gateway;
import org.bambooarch.gateway.observability.AsyncLineWriter;
import org.bambooarch.platform.PlatformGatewayFactory;
import org.bambooarch.platform.PlatformSettings;
import org.bambooarch.platform.wire.WireFormatException;
import org.tinylog.Logger;
import sun.misc.Signal;

/**
 * Runs an entry instance on the users' platform until SIGTERM or SIGINT. SIGHUP is logged and
 * changes nothing.
 */
final class GatewayCommand implements Command {

  private static final Signal RELOAD = new Signal("HUP");

  @Override
  public String name() {
    return "gateway";
  }

  @Override
  public String arguments() {
    return "[--settings FILE]";
  }

  @Override
  public String summary() {
    return "run an entry instance on the platform until a signal stops it";
  }

  @Override
  public void declareOptions(OptionParser options) {
    options
        .accepts(
            Arguments.SETTINGS,
            "the platform's settings file; by default the one that the environment names")
        .withRequiredArg();
  }

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    // First of all, since the default action of the signal ends the process.
    Signal.handle(RELOAD, signal -> Logger.info("event=reload reason=\"still starting\""));
    Arguments.positional(0, "no arguments", options);
    // A slow reader of the log must not block threads that serve requests.
    System.setOut(AsyncLineWriter.standardOutput().asPrintStream());
    Path file = settingsFile(options);
    PlatformSettings settings = readSettings(file);
    Gateway gateway = PlatformGatewayFactory.create(settings);
    Signal.handle(RELOAD, signal -> gateway.reload());
    start(gateway, settings);
    StopSignals signals = StopSignals.install(() -> {});
    signals.await();
    gateway.stopGracefully().join();
    AsyncLineWriter.standardOutput().close();
    return ExitCode.DONE;
  }

  private static void start(Gateway gateway, PlatformSettings settings) throws CommandException {
    try {
      gateway.start();
    } catch (IOException e) {
      gateway.close();
      throw CommandErrors.instanceCannotListen(settings.gateway().identity().name(), e);
    }
  }

  private static Path settingsFile(OptionSet options) throws CommandException {
    if (options.has(Arguments.SETTINGS)) {
      return Path.of((String) options.valueOf(Arguments.SETTINGS));
    }
    String path = System.getenv(PlatformSettings.FILE_VARIABLE);
    if (path == null) {
      throw CommandErrors.settingsFileNotGiven(PlatformSettings.FILE_VARIABLE);
    }
    return Path.of(path);
  }

  private static PlatformSettings readSettings(Path file) throws CommandException {
    try {
      return PlatformSettings.read(file, SystemClock.systemClock().wallMillis());
    } catch (IOException | WireFormatException e) {
      throw CommandErrors.settingsUnreadable(file, e);
    }
  }
}

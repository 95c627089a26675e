package org.bambooarch.cli.command;

import java.util.concurrent.CompletionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.cli.Command;
import org.bambooarch.cli.CommandErrors;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.core.time.SystemClock;
import org.bambooarch.standin.StandinPlatform;

/** Runs a stand-in of the platform until a signal, for trials only. */
final class StandinPlatformCommand implements Command {

  private static final int DEFAULT_PORT = 20_000;
  private static final long DEFAULT_LAG_MILLIS = 1_000;

  @Override
  public String name() {
    return "standin-platform";
  }

  @Override
  public String arguments() {
    return "";
  }

  @Override
  public String summary() {
    return "run a stand-in of the platform, for trials only";
  }

  @Override
  public void declareOptions(OptionParser options) {
    options.accepts("host", "IP address to listen on").withRequiredArg().defaultsTo("127.0.0.1");
    options
        .accepts("port", "port to listen on; 0 takes any free one")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(DEFAULT_PORT);
    options
        .accepts("list-lag-millis", "time until the instance list shows a change, in ms")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(DEFAULT_LAG_MILLIS);
  }

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    Arguments.positional(0, "no arguments", options);
    String host = (String) options.valueOf("host");
    int port = (Integer) options.valueOf("port");
    long lagMillis = (Long) options.valueOf("list-lag-millis");
    try (StandinPlatform platform =
        StandinPlatform.startOn(host, port, lagMillis, SystemClock.systemClock())) {
      console.printLine("stand-in platform on http://%s:%d", host, platform.port());
      StopSignals.install(() -> {}).await();
    } catch (CompletionException e) {
      throw CommandErrors.cannotListen("the stand-in platform on " + host + ":" + port, e);
    }
    return ExitCode.DONE;
  }
}

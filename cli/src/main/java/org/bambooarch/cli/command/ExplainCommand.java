package org.bambooarch.cli.command;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.cli.Command;
import org.bambooarch.cli.CommandErrors;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.cli.explain.LogExplainer;
import org.bambooarch.cli.explain.LogQuery;

/**
 * Explains from the logs of instances what happened to a request, a server or a version of the
 * configuration, or which requests were lost and why.
 */
final class ExplainCommand implements Command {

  private static final String REQUEST = "request";
  private static final String SERVER = "server";
  private static final String VERSION = "version";
  private static final String LOSSES = "losses";

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String arguments() {
    return "(--request ID | --server ID | --version N | --losses) LOG...";
  }

  @Override
  public String summary() {
    return "explain from logs of instances, one file each or - for stdin, what happened and why";
  }

  @Override
  public void declareOptions(OptionParser options) {
    options.accepts(REQUEST, "id of a request").withRequiredArg();
    options.accepts(SERVER, "id of a server").withRequiredArg();
    options.accepts(VERSION, "version of the configuration").withRequiredArg();
    options.accepts(LOSSES, "count the requests that were not answered, by cause and place");
  }

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    Optional<LogQuery> query = options.has(LOSSES) ? Optional.empty() : Optional.of(query(options));
    List<String> files = options.nonOptionArguments().stream().map(String::valueOf).toList();
    if (files.isEmpty()) {
      throw CommandErrors.wrongArguments("one log file or more", files);
    }
    try {
      LogExplainer explainer = LogExplainer.read(files, System.in);
      List<String> lines = query.map(explainer::explain).orElseGet(explainer::summarizeLosses);
      for (String line : lines) {
        console.printLine("%s", line);
      }
    } catch (IOException e) {
      throw CommandErrors.logUnreadable(e);
    }
    return ExitCode.DONE;
  }

  private static LogQuery query(OptionSet options) throws CommandException {
    if (options.has(REQUEST)) {
      return new LogQuery.ByRequest((String) options.valueOf(REQUEST));
    }
    if (options.has(SERVER)) {
      return new LogQuery.ByServer((String) options.valueOf(SERVER));
    }
    if (options.has(VERSION)) {
      return new LogQuery.ByVersion((String) options.valueOf(VERSION));
    }
    throw CommandErrors.wrongArguments("--request, --server or --version, or --losses", List.of());
  }
}

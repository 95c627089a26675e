package org.bambooarch.cli.command;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import java.io.IOException;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.cli.Command;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.cli.http.CallersClient;
import org.bambooarch.cli.http.CallersClient.ClientRequest;
import org.bambooarch.entry.lookup.LookupService.LookupInstance;

/** Sends one request as a caller does: looks up an instance, then sends it the request. */
final class CallCommand implements Command {

  private static final String DEFAULT_ENTRY = "http://127.0.0.1:20100";

  @Override
  public String name() {
    return "call";
  }

  @Override
  public String arguments() {
    return "PATH";
  }

  @Override
  public String summary() {
    return "look up an instance and send it one request, as a caller does";
  }

  @Override
  public void declareOptions(OptionParser options) {
    options
        .accepts("entry", "callers' URI of any instance, which answers the look-up")
        .withRequiredArg()
        .defaultsTo(DEFAULT_ENTRY);
    options
        .accepts("key", "key of the customer; none if this is left out")
        .withRequiredArg()
        .defaultsTo("");
    options.accepts("method", "HTTP method").withRequiredArg().defaultsTo("GET");
    options.accepts("body", "body of the request as text").withRequiredArg().defaultsTo("");
    options
        .accepts("idempotency-key", "Idempotency-Key header, which makes a resend safe")
        .withRequiredArg()
        .defaultsTo("");
    options
        .accepts("client", "client address to look up instances for")
        .withRequiredArg()
        .defaultsTo("");
  }

  @Override
  public ExitCode run(OptionSet options, Console console) throws CommandException {
    String path = Arguments.positional(1, "one path", options).getFirst();
    ClientRequest request =
        new ClientRequest(
            HttpMethod.valueOf((String) options.valueOf("method")),
            path,
            (String) options.valueOf("key"),
            (String) options.valueOf("idempotency-key"),
            (String) options.valueOf("body"));
    try {
      LookupInstance instance = firstInstance(options);
      AggregatedHttpResponse response =
          CallersClient.send(CallersClient.webClient(CallersClient.uriOf(instance)), request);
      console.printLine("instance %s status %s", instance.name(), response.status().codeAsText());
      console.out().print(response.contentUtf8());
      return response.status().isSuccess() ? ExitCode.DONE : ExitCode.FAILED;
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.UNREACHABLE, e.getMessage() + "; check --entry and that it runs", e);
    }
  }

  private static LookupInstance firstInstance(OptionSet options)
      throws IOException, CommandException {
    String entry = (String) options.valueOf("entry");
    List<LookupInstance> instances =
        CallersClient.lookup(entry, (String) options.valueOf("client"));
    if (instances.isEmpty()) {
      throw new CommandException(
          ExitCode.FAILED, "the look-up returned no instances yet; try again in a second");
    }
    return instances.getFirst();
  }
}

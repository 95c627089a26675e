package org.bambooarch.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.tinylog.Logger;

/** Plays faults to real instances as separate processes and checks the answers of each request. */
public final class SoakMain {

  private static final int BROKEN = 1;
  private static final int COULD_NOT_RUN = 2;

  private SoakMain() {}

  /**
   * Runs one soak and exits: 0 if all promises were kept, 1 if one was broken, 2 if it could not
   * run.
   */
  public static void main(String[] args) {
    Runtime.getRuntime().halt(run(args));
  }

  private static int run(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<Long> seed = option(parser, "seed", "seed of all draws", Long.class, 1L);
    OptionSpec<Long> seconds = option(parser, "for", "length, in seconds", Long.class, 60L);
    OptionSpec<Integer> instances =
        option(parser, "instances", "number of instances", Integer.class, 24);
    OptionSpec<Integer> servers =
        option(parser, "servers", "number of servers", Integer.class, 100);
    OptionSpec<Integer> rate = option(parser, "rate", "requests per second", Integer.class, 400);
    OptionSpec<Double> workMillis =
        option(parser, "work-millis", "mean work of a request", Double.class, 150.0);
    OptionSpec<Double> faults =
        option(parser, "faults", "factor for the shares of server faults", Double.class, 1.0);
    OptionSpec<Integer> group =
        option(parser, "stagger", "instances that start at the same time", Integer.class, 8);
    OptionSpec<Void> sameIds =
        parser.accepts("same-ids", "retries keep the request's id, also after a client left");
    OptionSpec<Void> calm = parser.accepts("calm", "the operator does nothing");
    OptionSpec<Void> planned = parser.accepts("planned", "the operator kills nothing");
    OptionSpec<Double> roll =
        option(
            parser, "roll", "seconds from one SIGTERM to the next, 0 for none", Double.class, 0.0);
    OptionSpec<String> storeTrouble =
        parser
            .accepts("store-trouble", "troubles of the store, all kinds if none are given")
            .withOptionalArg()
            .withValuesSeparatedBy(',');
    OptionSpec<String> keepLogs =
        parser.accepts("keep-logs", "folder for logs").withRequiredArg().ofType(String.class);
    try {
      OptionSet options = parser.parse(args);
      System.out.println("seed=" + options.valueOf(seed));
      Path logs =
          options.has(keepLogs)
              ? Files.createDirectories(Path.of(options.valueOf(keepLogs)).toAbsolutePath())
              : Files.createTempDirectory("bambooarch-soak");
      Soak.Plan plan =
          new Soak.Plan(
              options.valueOf(seed),
              options.valueOf(seconds),
              options.valueOf(instances),
              options.valueOf(servers),
              options.valueOf(rate),
              options.valueOf(workMillis),
              options.valueOf(faults),
              options.valueOf(group),
              options.has(sameIds),
              options.has(calm),
              options.has(planned),
              options.valueOf(roll),
              storeTroubles(options, storeTrouble));
      return new Soak(plan, Path.of("").toAbsolutePath(), logs).run() ? 0 : BROKEN;
    } catch (OptionException | IllegalArgumentException e) {
      System.err.println(e.getMessage());
      return COULD_NOT_RUN;
    } catch (IOException e) {
      Logger.error(e, "event=could-not-run");
      return COULD_NOT_RUN;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return COULD_NOT_RUN;
    }
  }

  private static List<StoreTrouble.Kind> storeTroubles(
      OptionSet options, OptionSpec<String> storeTrouble) {
    if (!options.has(storeTrouble)) {
      return List.of();
    }
    List<StoreTrouble.Kind> kinds =
        options.valuesOf(storeTrouble).stream().map(StoreTrouble.Kind::valueOf).toList();
    return kinds.isEmpty() ? List.of(StoreTrouble.Kind.values()) : kinds;
  }

  private static <T> OptionSpec<T> option(
      OptionParser parser, String name, String text, Class<T> type, T value) {
    return parser.accepts(name, text).withRequiredArg().ofType(type).defaultsTo(value);
  }
}

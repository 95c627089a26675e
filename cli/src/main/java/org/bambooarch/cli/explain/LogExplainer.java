package org.bambooarch.cli.explain;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Answers queries about the logs of several instances.
 *
 * <pre>{@code
 * List<String> lines = LogExplainer.read(files, System.in).explain(new LogQuery.ByRequest(id));
 * }</pre>
 */
public final class LogExplainer {

  /** File name that means the standard input. */
  public static final String STANDARD_INPUT = "-";

  private final List<List<LogLine>> files;

  private LogExplainer(List<List<LogLine>> files) {
    this.files = files;
  }

  /**
   * Reads logs into memory, one file for each process.
   *
   * @throws IOException if a file cannot be read
   */
  public static LogExplainer read(List<String> files, InputStream standardInput)
      throws IOException {
    List<List<LogLine>> logs = new ArrayList<>();
    for (String file : files) {
      try (BufferedReader reader = open(file, standardInput)) {
        logs.add(LogFile.read(file, reader));
      }
    }
    return new LogExplainer(logs);
  }

  private static BufferedReader open(String file, InputStream standardInput) throws IOException {
    return file.equals(STANDARD_INPUT)
        ? new BufferedReader(new InputStreamReader(standardInput, StandardCharsets.UTF_8))
        : Files.newBufferedReader(Path.of(file));
  }

  /** Returns the lines to print for a query; the last one is the conclusion. */
  public List<String> explain(LogQuery query) {
    return new LogQueryRunner(files).run(query).toLines();
  }

  /**
   * Returns the lines to print that count the requests which were not answered, by outcome,
   * service, place and second.
   */
  public List<String> summarizeLosses() {
    return new LossSummary(files).toLines();
  }
}

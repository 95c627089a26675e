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
 * Answers questions from the logs of several instances.
 *
 * <pre>{@code
 * List<String> lines = Explanation.read(files, System.in).answer(new Question.OfRequest(id));
 * }</pre>
 */
public final class Explanation {

  /** Name that stands for the standard input. */
  public static final String STANDARD_INPUT = "-";

  private final Explainer explainer;

  private Explanation(List<List<LogLine>> files) {
    this.explainer = new Explainer(files);
  }

  /**
   * Reads logs, one file for each process.
   *
   * @throws IOException if a file cannot be read
   */
  public static Explanation read(List<String> files, InputStream standardInput) throws IOException {
    List<List<LogLine>> logs = new ArrayList<>();
    for (String file : files) {
      try (BufferedReader reader = open(file, standardInput)) {
        logs.add(LogFile.read(file, reader));
      }
    }
    return new Explanation(logs);
  }

  private static BufferedReader open(String file, InputStream standardInput) throws IOException {
    return file.equals(STANDARD_INPUT)
        ? new BufferedReader(new InputStreamReader(standardInput, StandardCharsets.UTF_8))
        : Files.newBufferedReader(Path.of(file));
  }

  /** Returns the lines that answer a question, the last one says what they mean. */
  public List<String> answer(Question question) {
    return explainer.answer(question).text();
  }
}

package org.bambooarch.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bambooarch.cli.command.Commands;

/** Runs command lines in this process and keeps a transcript, without values that vary by run. */
final class OperatorSession {

  private static final Pattern KEY = Pattern.compile("(?m)^key (\\S+)$");
  private static final Pattern KEY_ID = Pattern.compile("\\b[0-9a-f]{16}\\b");
  private static final Pattern CHANGE_ID = Pattern.compile("change [0-9a-f-]{36}");
  private static final Pattern PORT = Pattern.compile("127\\.0\\.0\\.1:\\d+");

  private final StringBuilder transcript = new StringBuilder();
  private String lastOutput = "";

  /** Runs a command line and returns its exit code; each space separates two arguments. */
  ExitCode run(String line) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    ExitCode exitCode =
        CommandLine.of(Commands.all()).run(line.split(" ", -1), new Console(stream, stream));
    lastOutput = bytes.toString(StandardCharsets.UTF_8);
    transcript.append("$ bambooarch ").append(line).append('\n').append(lastOutput);
    transcript.append("exit ").append(exitCode.code()).append("\n\n");
    return exitCode;
  }

  /** Returns what the last command printed, results and errors. */
  String lastOutput() {
    return lastOutput;
  }

  /** Returns the key that the last command issued, or an empty string. */
  String issuedKey() {
    Matcher matcher = KEY.matcher(lastOutput);
    return matcher.find() ? matcher.group(1) : "";
  }

  /** Returns the first key id that the last command printed, or an empty string. */
  String issuedKeyId() {
    Matcher matcher = KEY_ID.matcher(lastOutput);
    return matcher.find() ? matcher.group() : "";
  }

  /** Returns all commands with their output; placeholders stand for keys, ids and ports. */
  String transcript() {
    String text = KEY.matcher(transcript).replaceAll("key <KEY>");
    text = CHANGE_ID.matcher(text).replaceAll("change <CHANGE>");
    text = KEY_ID.matcher(text).replaceAll("<ID>");
    return PORT.matcher(text).replaceAll("127.0.0.1:<PORT>");
  }
}

package org.bambooarch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.bambooarch.cli.command.Commands;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CommandLineTest {

  private final OperatorSession session = new OperatorSession();

  @ParameterizedTest
  @CsvSource({
    "'frobnicate', USAGE, 'unknown command \"frobnicate\"; see bambooarch --help'",
    "'validate --colour x', USAGE, 'colour is not a recognized option; see --help'",
    "'validate', USAGE, 'expected one inventory directory; found []; see --help'",
    "'apply ../examples/swatchnet', USAGE, 'Missing required option(s) [expect]; see --help'",
    "'apply ../examples/swatchnet --expect x', USAGE, 'Cannot parse argument ''x'''",
    "'key withdraw', USAGE, 'expected issue CUSTOMER, list, or withdraw KEY-ID; found [withdraw]'",
    "'validate /no/such/folder', INVALID, 'expected a directory with the inventory''s JSON files'",
    "'plan ../examples/swatchnet --platform http://127.0.0.1:1', UNREACHABLE, 'check --platform'",
    "'status --platform http://127.0.0.1:1', UNREACHABLE, 'nothing was changed'",
    "'call /x --entry http://127.0.0.1:1', UNREACHABLE, 'check --entry and that it runs'",
    "'explain --server x', USAGE, 'expected one log file or more; found []; see --help'",
    "'explain a.log', USAGE, 'expected --request, --server or --version'",
    "'explain --request x /no/such/log', USAGE, 'cannot read a log: /no/such/log'",
    "'entry --settings /no/such/file', INVALID, 'settings file /no/such/file cannot be read'",
  })
  void should_say_what_to_do_when_the_command_line_is_wrong_or_cannot_be_run(
      String line, ExitCode expected, String message) {
    assertThat(session.run(line)).isEqualTo(expected);
    assertThat(session.lastOutput()).contains(message);
  }

  @Test
  void should_print_help_when_any_command_is_asked_for_it() {
    assertThat(session.run("--help")).isEqualTo(ExitCode.DONE);
    assertThat(session.lastOutput()).contains("exit codes:", "5  another change came first");
    for (Command command : Commands.all()) {
      assertThat(session.run(command.name() + " --help")).isEqualTo(ExitCode.DONE);
      assertThat(session.lastOutput()).contains("usage: bambooarch " + command.name());
    }
  }

  @Test
  void should_name_the_port_when_it_is_in_use() throws IOException {
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.ofLiteral("127.0.0.1"))) {
      ExitCode exitCode = session.run("standin-platform --port " + taken.getLocalPort());
      assertThat(exitCode).isEqualTo(ExitCode.CANNOT_LISTEN);
      assertThat(session.lastOutput()).contains("127.0.0.1:" + taken.getLocalPort());
    }
  }

  @Test
  void should_list_all_findings_when_settings_are_wrong(@TempDir Path folder) throws IOException {
    Path file = folder.resolve("entry.json");
    Files.writeString(file, "{\"name\": 7, \"dataCentre\": \"kochi-a\", \"colour\": 1}");
    assertThat(session.run("entry --settings " + file)).isEqualTo(ExitCode.INVALID);
    assertThat(session.lastOutput())
        .contains(file + "#/name: expected a value of type String; found number 7")
        .contains(file + "#: expected field \"host\"; it is missing")
        .contains(file + "#/colour: unknown field \"colour\"");
    Files.writeString(file, "{\n  \"name\": }");
    session.run("entry --settings " + file);
    assertThat(session.lastOutput()).contains("malformed JSON at 2:");
  }
}

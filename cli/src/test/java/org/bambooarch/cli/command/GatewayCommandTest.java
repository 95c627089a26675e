package org.bambooarch.cli.command;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import joptsimple.OptionParser;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.bambooarch.cli.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sun.misc.Signal;
import sun.misc.SignalHandler;

class GatewayCommandTest {

  /** Settings of an instance, without the port for other instances. */
  private static final String SETTINGS =
      """
      {"self": {"node": "entry-1", "ip": "127.0.0.1", "zone": "north-a", "region": "north"},
       "network": {"listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2",
          "directory": "127.0.0.1:3"}, "internal-ports": [%d], "zones": {"north-a": "north"}},
       "platform": {"platform": {"addr": "127.0.0.1:1"}},
       "terms": {"bounds": {}}}
      """;

  private static final Signal RELOAD = new Signal("HUP");

  private static SignalHandler handlerAfterFailedStart(SignalHandler before, Path settings) {
    GatewayCommand command = new GatewayCommand();
    OptionParser parser = new OptionParser();
    command.declareOptions(parser);
    Signal.handle(RELOAD, before);
    PrintStream out = System.out;
    try {
      assertThatThrownBy(
              () ->
                  command.run(parser.parse("--settings", settings.toString()), Console.ofProcess()))
          .isInstanceOf(CommandException.class);
    } finally {
      System.setOut(out);
    }
    return Signal.handle(RELOAD, before);
  }

  // Regression: until an instance had started, the signal ended its process.
  @Test
  void should_handle_the_signal_to_reload_before_the_settings_are_read(@TempDir Path folder) {
    SignalHandler before = signal -> {};
    SignalHandler original = Signal.handle(RELOAD, before);
    try {
      assertThat(handlerAfterFailedStart(before, folder.resolve("missing.json")))
          .isNotSameAs(before);
    } finally {
      Signal.handle(RELOAD, original);
    }
  }

  // Regression: a port in use ended the process with a stack trace and exit code 1.
  @Test
  void should_name_the_address_when_a_port_is_in_use(@TempDir Path folder) throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    Path file = folder.resolve("settings.json");
    GatewayCommand command = new GatewayCommand();
    OptionParser parser = new OptionParser();
    command.declareOptions(parser);
    SignalHandler original = Signal.handle(RELOAD, SignalHandler.SIG_IGN);
    PrintStream out = System.out;
    try (DatagramSocket taken = new DatagramSocket(new InetSocketAddress(loopback, 0))) {
      Files.writeString(file, SETTINGS.formatted(taken.getLocalPort()));

      assertThatThrownBy(
              () -> command.run(parser.parse("--settings", file.toString()), Console.ofProcess()))
          .isInstanceOfSatisfying(
              CommandException.class,
              e -> assertThat(e.exitCode()).isEqualTo(ExitCode.CANNOT_LISTEN))
          .hasMessageContaining("127.0.0.1:" + taken.getLocalPort());
    } finally {
      System.setOut(out);
      Signal.handle(RELOAD, original);
    }
  }
}

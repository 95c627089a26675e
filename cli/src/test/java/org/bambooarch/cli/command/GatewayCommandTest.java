package org.bambooarch.cli.command;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.PrintStream;
import java.nio.file.Path;
import joptsimple.OptionParser;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.Console;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sun.misc.Signal;
import sun.misc.SignalHandler;

class GatewayCommandTest {

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
}

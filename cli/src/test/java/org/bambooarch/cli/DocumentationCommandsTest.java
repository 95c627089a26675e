package org.bambooarch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.bambooarch.cli.quickstart.LoopbackFleet;
import org.bambooarch.entry.EntryInstance;
import org.bambooarch.inventory.InventoryDirectory;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Runs the shell commands in the documentation for operators and callers. */
class DocumentationCommandsTest {

  private static final Path DOCS = Path.of("..", "docs");
  private static final String CUSTOMER = "kasavu-exports";
  private static final Pattern VERSION = Pattern.compile("--expect (\\d+)\\s*$");
  private static final Pattern ARGUMENT = Pattern.compile("'([^']*)'|\"([^\"]*)\"|(\\S+)");
  private static final Set<String> WITHOUT_PLATFORM_OPTION = Set.of("validate", "call", "--help");

  /**
   * Commands that are repeated until they exit as expected: instances apply changes with a delay.
   */
  private static final Set<String> RETRIED = Set.of("status", "call", "dump");

  @TempDir static Path inventory;
  private static LoopbackFleet fleet;
  private static String key;
  private static String keyId = "";

  @BeforeAll
  static void startFleet() throws Exception {
    fleet = LoopbackFleet.start(InventoryDirectory.read(InventoryCopy.SWATCHNET));
    InventoryCopy.of(fleet, inventory);
    key = fleet.keysByCustomer().get(CUSTOMER);
  }

  @AfterAll
  static void stopFleet() {
    fleet.close();
  }

  static List<Path> pages() throws IOException {
    List<Path> pages = new ArrayList<>(List.of(DOCS.resolve("callers.md")));
    try (Stream<Path> files = Files.list(DOCS.resolve("operators"))) {
      files.filter(file -> file.toString().endsWith(".md")).sorted().forEach(pages::add);
    }
    return pages;
  }

  @ParameterizedTest
  @MethodSource("pages")
  @Timeout(120)
  void should_succeed_when_the_commands_of_a_page_are_run(Path page) throws IOException {
    for (String line : commands(page)) {
      if (line.startsWith("curl")) {
        runCurl(line);
      } else {
        runCommand(line);
      }
    }
  }

  @Test
  void should_find_the_daemon_commands_when_the_start_script_is_read() throws IOException {
    assertThat(Path.of("..", "bin", "start-processes"))
        .content()
        .contains("entry --settings", "standin-platform", "standin-target");
  }

  private static List<String> commands(Path page) throws IOException {
    List<String> commands = new ArrayList<>();
    boolean inShellBlock = false;
    for (String line : Files.readAllLines(page)) {
      String text = line.strip();
      if (text.startsWith("```")) {
        inShellBlock = text.equals("```sh");
      } else if (inShellBlock) {
        assertThat(text).as(page.toString()).matches("(bin/bambooarch|curl) .*");
        commands.add(text);
      }
    }
    return commands;
  }

  /**
   * Runs a command; an expected failure is marked with a comment such as {@code # exit 6}. The
   * command {@code entry} is left out, because it would run until a signal.
   */
  private static void runCommand(String lineWithExitCode) {
    String[] parts = lineWithExitCode.split(" # exit ", 2);
    String line = parts[0];
    int expectedExitCode = parts.length == 1 ? ExitCode.DONE.code() : Integer.parseInt(parts[1]);
    String name = line.split(" ", -1)[1];
    if (name.equals("entry")) {
      return;
    }
    String commandLine = substitutePlaceholders(line).replaceFirst("bin/bambooarch ", "");
    if (name.equals("call")) {
      commandLine += " --entry " + fleet.callersUri(fleet.instances().getFirst());
    } else if (!WITHOUT_PLATFORM_OPTION.contains(name)) {
      commandLine += " --platform " + fleet.platformUri();
    }
    OperatorSession session = new OperatorSession();
    ExitCode exitCode = session.run(commandLine);
    while (exitCode.code() != expectedExitCode && RETRIED.contains(name)) {
      exitCode = session.run(commandLine);
    }
    assertThat(exitCode.code())
        .as(lineWithExitCode + "\n" + session.lastOutput())
        .isEqualTo(expectedExitCode);
    if (commandLine.startsWith("key issue")) {
      key = session.issuedKey();
      keyId = session.issuedKeyId();
    } else if (commandLine.startsWith("key withdraw")) {
      key = fleet.keysByCustomer().get(CUSTOMER);
    }
  }

  private static void runCurl(String line) {
    List<String> arguments = new ArrayList<>();
    Matcher matcher = ARGUMENT.matcher(substitutePlaceholders(line));
    while (matcher.find()) {
      arguments.add(matcher.group().replaceAll("^['\"]|['\"]$", ""));
    }
    String method = "GET";
    String body = "";
    List<String[]> headers = new ArrayList<>();
    for (int i = 1; i < arguments.size() - 1; i++) {
      switch (arguments.get(i)) {
        case "-X" -> method = arguments.get(++i);
        case "-d" -> body = arguments.get(++i);
        case "-H" -> headers.add(arguments.get(++i).split(": ", 2));
        default -> assertThat(arguments.get(i)).isEqualTo("-s");
      }
    }
    String url = arguments.getLast();
    int pathIndex = url.indexOf('/', "http://".length());
    RequestHeadersBuilder builder =
        RequestHeaders.builder(HttpMethod.valueOf(method), url.substring(pathIndex));
    headers.forEach(header -> builder.add(header[0], header[1]));
    AggregatedHttpResponse response =
        WebClient.of(url.substring(0, pathIndex))
            .execute(builder.build(), HttpData.ofUtf8(body))
            .aggregate()
            .join();
    if (line.contains("Bearer wrong")) {
      assertThat(response.status().code()).as(line).isEqualTo(401);
    } else {
      assertThat(response.status().isSuccess()).as(line).isTrue();
    }
  }

  private static String substitutePlaceholders(String line) {
    EntryInstance instance = fleet.instances().getFirst();
    String text =
        line.replace("http://127.0.0.1:20000", fleet.platformUri())
            .replace("http://127.0.0.1:20100", fleet.callersUri(instance))
            .replace("http://127.0.0.1:20300", fleet.operatorsUri(instance))
            .replace("examples/swatchnet", inventory.toString())
            .replace("\"$KEY_ID\"", keyId)
            .replace("\"$KEY\"", key)
            .replace("$KEY", key);
    return text.contains("$VERSION") ? text.replace("\"$VERSION\"", newestVersion()) : text;
  }

  private static String newestVersion() {
    OperatorSession session = new OperatorSession();
    session.run("plan " + inventory + " --platform " + fleet.platformUri());
    Matcher matcher = VERSION.matcher(session.lastOutput());
    assertThat(matcher.find()).as(session.lastOutput()).isTrue();
    return matcher.group(1);
  }
}

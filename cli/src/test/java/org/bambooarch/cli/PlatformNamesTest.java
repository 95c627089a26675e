package org.bambooarch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that only the module {@code platform} contains names of the users' platform. */
class PlatformNamesTest {

  private static final Path ROOT = Path.of(System.getProperty("user.dir")).getParent();

  private static final Pattern PLATFORM_NAMES =
      Pattern.compile(
          "rows-tx|rows-get|rows-feed|Expect-Instance|expect-instance|Server-Seal|server-seal"
              + "|Not-Executed|not-executed|Affinity-Key|affinity-key|cold-left|op/config"
              + "|BAMBOOARCH_NODE_FILE|Server-Load|server-load|api-keys|target-latency"
              + "|retry-budget-ratio|quota-overshoot|\"tenants?\"|\"zones?\"");

  @Test
  void should_find_no_platform_name_when_sources_outside_its_module_are_searched()
      throws IOException {
    List<String> violations = new ArrayList<>();
    try (Stream<Path> modules = Files.list(ROOT)) {
      for (Path module : modules.filter(Files::isDirectory).toList()) {
        Path sources = module.resolve("src/main/java");
        if (Files.isDirectory(sources) && !module.endsWith("platform")) {
          collectViolations(sources, violations);
        }
      }
    }
    assertThat(violations).isEmpty();
  }

  private static void collectViolations(Path sources, List<String> violations) throws IOException {
    try (Stream<Path> files = Files.walk(sources)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        if (file.toString().contains("generated")) {
          continue;
        }
        int number = 0;
        for (String line : Files.readAllLines(file)) {
          number++;
          if (PLATFORM_NAMES.matcher(line).find()) {
            violations.add(ROOT.relativize(file) + ":" + number + ": " + line.strip());
          }
        }
      }
    }
  }
}

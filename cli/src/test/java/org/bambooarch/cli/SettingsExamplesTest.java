package org.bambooarch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.bambooarch.cli.config.SettingsFile;
import org.bambooarch.entry.EntrySettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SettingsExamplesTest {

  @ParameterizedTest
  @ValueSource(strings = {"entry-kochi-a", "entry-tvm-a", "entry-kozhikode-a"})
  void should_have_the_name_of_its_file_when_example_settings_are_read(String name)
      throws Exception {
    Path file = Path.of("..", "examples", "settings", name + ".json");
    assertThat(SettingsFile.read(file, EntrySettings.class).name()).isEqualTo(name);
  }
}

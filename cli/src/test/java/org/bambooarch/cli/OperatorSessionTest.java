package org.bambooarch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import org.bambooarch.cli.quickstart.LoopbackFleet;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Server;
import org.bambooarch.inventory.InvalidInventoryException;
import org.bambooarch.inventory.InventoryDirectory;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A whole day of an operator's commands, compared with a golden file. */
class OperatorSessionTest {

  private static final Path GOLDEN = Path.of("src", "test", "resources", "operator-session.txt");
  private static final Path SWATCHNET = Path.of("..", "examples", "swatchnet");

  private static LoopbackFleet fleet;

  @TempDir Path temporary;

  @BeforeAll
  static void startFleet() throws Exception {
    Inventory inventory = InventoryDirectory.read(SWATCHNET);
    fleet = LoopbackFleet.start(inventory);
  }

  @AfterAll
  static void stopFleet() {
    fleet.close();
  }

  @Test
  @Timeout(120)
  void should_print_the_golden_file_when_the_commands_of_a_day_are_run() throws Exception {
    // given
    copyInventory();
    String at = " --platform " + fleet.platformUri();
    String asha = " --author asha" + at;
    String biju = " --author biju" + at;
    String entry = " --entry " + fleet.callersUri(fleet.instances().getFirst());
    OperatorSession session = new OperatorSession();
    // when: a change of the inventory
    session.run("validate " + temporary);
    session.run("plan " + temporary + at);
    edit("customers.json", "\"burstRequests\": 30}", "\"burstRequests\": 45}");
    edit("rules.json", "[]", "[{\"kind\": \"SERVER\", \"name\": \"order-desk-tvm-b-2\"}]");
    session.run("plan " + temporary + at);
    session.run("apply " + temporary + " --expect 9" + asha);
    session.run("apply " + temporary + " --expect 9" + biju);
    edit("places.json", "\"delayMicros\": 55000", "\"delayMicros\": -1");
    edit("rules.json", "order-desk-tvm-b-2", "order-desk-tvm-b-3");
    session.run("apply " + temporary + " --expect 10" + asha);
    // and: a key that is issued and withdrawn
    session.run("key issue wayanad-dye-house" + asha);
    final String key = session.issuedKey();
    final String id = session.issuedId();
    session.run("key issue nobody" + asha);
    awaitOutput("status" + at, "on 3 of 3 instances");
    session.run("status" + at);
    String call = "call /dye-lots/stock/7 --key " + key + entry;
    awaitOutput(call, "status 200");
    session.run("key withdraw " + id + asha);
    awaitOutput(call, "status 401");
    session.run(call);
    session.run("key list" + at);
    // and: drains
    session.run("drain place tvm" + biju);
    session.run("drain place tvn" + biju);
    session.run("drain instance entry-tvm-a" + biju);
    session.run("undrain instance entry-tvm-a" + biju);
    session.run("undrain place tvm" + biju);
    // then
    String transcript =
        session.transcript().replace(key, "<KEY>").replace(temporary.toString(), "inventory");
    assertThat(transcript).isEqualTo(Files.readString(GOLDEN));
  }

  /** Copies the example with the ports that the stand-in targets really use. */
  private void copyInventory() throws IOException, InvalidInventoryException {
    try (DirectoryStream<Path> files = Files.newDirectoryStream(SWATCHNET)) {
      for (Path file : files) {
        Files.copy(file, temporary.resolve(file.getFileName()));
      }
    }
    List<Server> declared = InventoryDirectory.read(SWATCHNET).servers();
    for (int i = 0; i < declared.size(); i++) {
      int port = fleet.inventory().servers().get(i).port();
      edit("servers.json", "\"port\": " + declared.get(i).port(), "\"port\": " + port);
    }
  }

  private void edit(String name, String from, String to) throws IOException {
    Path file = temporary.resolve(name);
    String text = Files.readString(file);
    assertThat(text).contains(from);
    Files.writeString(file, text.replaceFirst(Pattern.quote(from), to));
  }

  /** Runs a command until its output shows a state; the test's timeout ends it otherwise. */
  private static void awaitOutput(String line, String expected) {
    OperatorSession poll = new OperatorSession();
    do {
      poll.run(line);
    } while (!poll.lastOutput().contains(expected));
  }
}

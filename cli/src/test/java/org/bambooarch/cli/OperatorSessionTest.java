package org.bambooarch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.bambooarch.cli.quickstart.LoopbackFleet;
import org.bambooarch.inventory.InventoryDirectory;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs a sequence of operators' commands and compares their output with a golden file. */
class OperatorSessionTest {

  private static final Path GOLDEN = Path.of("src", "test", "resources", "operator-session.txt");

  private static LoopbackFleet fleet;

  @TempDir Path temporary;

  @BeforeAll
  static void startFleet() throws Exception {
    fleet = LoopbackFleet.start(InventoryDirectory.read(InventoryCopy.SWATCHNET));
  }

  @AfterAll
  static void stopFleet() {
    fleet.close();
  }

  @Test
  @Timeout(120)
  void should_match_the_golden_file_when_an_operators_commands_are_run() throws Exception {
    // given
    InventoryCopy inventory = InventoryCopy.of(fleet, temporary);
    String platformOption = " --platform " + fleet.platformUri();
    String ashaOptions = " --author asha" + platformOption;
    String bijuOptions = " --author biju" + platformOption;
    String entryOption = " --entry " + fleet.callersUri(fleet.instances().getFirst());
    OperatorSession session = new OperatorSession();
    // when: a change of the inventory
    session.run("validate " + temporary);
    session.run("plan " + temporary + platformOption);
    inventory.edit("customers.json", "\"burstRequests\": 30}", "\"burstRequests\": 45}");
    inventory.edit(
        "rules.json", "[]", "[{\"kind\": \"SERVER\", \"name\": \"order-desk-tvm-b-2\"}]");
    session.run("plan " + temporary + platformOption);
    session.run("apply " + temporary + " --expect 9" + ashaOptions);
    session.run("apply " + temporary + " --expect 9" + bijuOptions);
    inventory.edit("places.json", "\"delayMicros\": 55000", "\"delayMicros\": -1");
    inventory.edit("rules.json", "order-desk-tvm-b-2", "order-desk-tvm-b-3");
    session.run("apply " + temporary + " --expect 10" + ashaOptions);
    // and: a key that is issued and withdrawn
    session.run("key issue wayanad-dye-house" + ashaOptions);
    final String key = session.issuedKey();
    final String keyId = session.issuedKeyId();
    session.run("key issue nobody" + ashaOptions);
    awaitOutput("status" + platformOption, "on 3 of 3 instances");
    session.run("status" + platformOption);
    String call = "call /dye-lots/stock/7 --key " + key + entryOption;
    awaitOutput(call, "status 200");
    session.run("key withdraw " + keyId + ashaOptions);
    awaitOutput(call, "status 401");
    session.run(call);
    session.run("key list" + platformOption);
    // and: drains
    session.run("drain place tvm" + bijuOptions);
    session.run("drain place tvn" + bijuOptions);
    session.run("drain instance entry-tvm-a" + bijuOptions);
    session.run("undrain instance entry-tvm-a" + bijuOptions);
    session.run("undrain place tvm" + bijuOptions);
    // then
    String transcript =
        session.transcript().replace(key, "<KEY>").replace(temporary.toString(), "inventory");
    assertThat(transcript).isEqualTo(Files.readString(GOLDEN));
  }

  /** Repeats a command until its output contains a text; only the test's timeout limits this. */
  private static void awaitOutput(String line, String expected) {
    OperatorSession poll = new OperatorSession();
    do {
      poll.run(line);
    } while (!poll.lastOutput().contains(expected));
  }
}

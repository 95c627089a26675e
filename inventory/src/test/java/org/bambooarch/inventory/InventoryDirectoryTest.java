package org.bambooarch.inventory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.bambooarch.core.inventory.Inventory;
import org.bambooarch.core.inventory.Server;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class InventoryDirectoryTest {

  @TempDir Path tempDirectory;
  private InventoryFixture files;

  @BeforeEach
  void copyExample() throws IOException {
    files = InventoryFixture.copyOf(InventoryFixture.SWATCHNET, tempDirectory);
  }

  @ParameterizedTest
  @CsvSource({"swatchnet, 4, 6, 500000000, 55000, 360", "blue-mahoe, 3, 5, 35000000, 20000, 330"})
  void should_contain_the_expected_topology_and_limits_when_an_example_is_read(
      String name,
      int minSlots,
      int maxSlots,
      long capBytesPerSecond,
      long delayMicros,
      int connectionLimit)
      throws Exception {
    // when
    Inventory inventory = InventoryDirectory.read(Path.of("..", "examples", name));
    // then
    assertThat(inventory.regions()).hasSize(3);
    assertThat(inventory.dataCentres()).hasSize(6);
    assertThat(inventory.links()).hasSize(6);
    assertThat(inventory.links())
        .allMatch(
            link ->
                link.capBytesPerSecond() == capBytesPerSecond && link.delayMicros() == delayMicros);
    assertThat(inventory.services()).hasSize(3);
    assertThat(inventory.customers()).hasSize(8);
    for (var service : inventory.services()) {
      List<Server> servers =
          inventory.servers().stream().filter(s -> s.service().equals(service.name())).toList();
      assertThat(servers).hasSize(12);
      assertThat(servers).extracting(Server::slots).contains(minSlots, maxSlots);
      assertThat(servers).allMatch(s -> s.slots() >= minSlots && s.slots() <= maxSlots);
      assertThat(servers).allMatch(s -> s.connectionLimit() == connectionLimit);
    }
  }

  @Test
  void should_report_all_findings_together_when_several_files_are_invalid() throws Exception {
    // given
    files
        .replace("places.json", "\"capBytesPerSecond\": 500000000", "\"capBytesPerSecond\": 0")
        .replace("services.json", "/catalogue/books", "/catalogue/../books")
        .replace("servers.json", "\"dataCentre\": \"kochi-b\"", "\"dataCentre\": \"kochi-z\"")
        .replace("servers.json", "\"port\": 21001", "\"port\": 70000")
        .replace("customers.json", "\"onam-boutiques\"", "\"kasavu-exports\"")
        .replace("customers.json", "\"burstRequests\": 30}", "\"burst\": 30}")
        .replace("client-blocks.json", "10.30.0.0/17", "10.10.0.0/17")
        .write("rules.json", "{\n  \"drains\": [,]\n}\n")
        .write("server.json", "{}");
    // when
    List<Finding> findings = findings();
    // then
    assertThat(findings)
        .extracting(Finding::toString)
        .containsExactly(
            "places.json#/links/0/capBytesPerSecond: expected a value from 1 to 12500000000000;"
                + " found 0",
            "servers.json#/servers/0/port: expected a value from 1 to 65535; found 70000",
            "customers.json#/customers/7: expected field \"burstRequests\"; it is missing",
            "customers.json#/customers/7/burst: unknown field \"burst\"; expected only"
                + " burstRequests, name, requestsPerSecond",
            "rules.json#: malformed JSON at 2:14: Unexpected character (',' (code 44)): expected a"
                + " valid value (JSON String, Number, Array, Object or token 'null', 'true' or"
                + " 'false')",
            "server.json#: unknown file; expected only places.json, services.json, servers.json,"
                + " customers.json, client-blocks.json, rules.json",
            "customers.json#/customers/1/name: expected a unique customer name; \"kasavu-exports\""
                + " is already at customers.json#/customers/0/name",
            "servers.json#/servers/2/dataCentre: expected the name of a data centre; no data centre"
                + " \"kochi-z\"",
            "services.json#/services/0/routes/0/pathPrefix: expected a normalized path: leading"
                + " slash, no trailing slash, no empty, \".\" or \"..\" segment, no escapes, query"
                + " or fragment; found \"/catalogue/../books\"",
            "client-blocks.json#/clientBlocks/5/cidr: expected a unique client block; 10.10.0.0/17"
                + " for kochi-a is already at client-blocks.json#/clientBlocks/0");
  }

  @Test
  void should_report_each_direction_when_two_regions_have_no_link() throws Exception {
    files.replace("places.json", "[\"kochi\", \"kozhikode\"]", "[\"kochi\", \"tvm\"]");
    assertThat(findings())
        .extracting(Finding::message)
        .contains(
            "expected a link from \"kochi\" to \"kozhikode\"; found none",
            "expected a link from \"kozhikode\" to \"kochi\"; found none",
            "expected a unique link direction; \"kochi -> tvm\" is already at"
                + " places.json#/links/0");
  }

  @Test
  void should_reject_a_nested_block_when_it_is_not_declared_as_an_exception() throws Exception {
    files.replace("client-blocks.json", ", \"exceptionTo\": \"10.20.0.0/17\"", "");
    assertThat(findings())
        .singleElement()
        .hasToString(
            "client-blocks.json#/clientBlocks/4/cidr: expected no overlap, or \"exceptionTo\":"
                + " \"10.20.0.0/17\" if the overlap is intended; 10.20.7.0/24 lies inside"
                + " 10.20.0.0/17 at client-blocks.json#/clientBlocks/2");
  }

  @Test
  void should_reject_an_exception_when_it_names_a_block_other_than_the_enclosing_one()
      throws Exception {
    files.replace(
        "client-blocks.json", "\"exceptionTo\": \"10.20.0.0/17\"", "\"exceptionTo\": \"::/0\"");
    assertThat(findings())
        .singleElement()
        .extracting(Finding::pointer)
        .isEqualTo("/clientBlocks/4/exceptionTo");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"10.1.0.0", "10.1.0.0/33", "10.1.0.1/16", "10.1/16", "kochi/8", "fd00::1/64"})
  void should_reject_a_client_block_when_its_cidr_is_invalid(String cidr) throws Exception {
    files.replace("client-blocks.json", "10.30.0.0/17", cidr);
    assertThat(findings()).extracting(Finding::pointer).containsExactly("/clientBlocks/5/cidr");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"orders/x", "/orders/", "/a//b", "/a/./b", "/..", "/a%20b", "/a?b=1", "/a#b"})
  void should_reject_a_path_prefix_when_it_is_not_normalized(String path) throws Exception {
    files.replace("services.json", "\"/orders/samples\"", "\"" + path + "\"");
    assertThat(findings())
        .extracting(Finding::pointer)
        .containsExactly("/services/1/routes/0/pathPrefix");
  }

  @ParameterizedTest
  @CsvSource({
    "'\"host\": \"127.0.0.1\"', '\"host\": \"localhost\"', /servers/0/host",
    "'\"port\": 21002', '\"port\": 21001', /servers/1",
    "'\"slots\": 4', '\"slots\": \"four\"', /servers/0/slots",
    "'\"slots\": 4', '\"slots\": 4.5', /servers/0/slots",
    "'\"connectionLimit\": 360', '\"connectionLimit\": 3', /servers/0/connectionLimit",
    "'\"service\": \"catalogue\"', '\"service\": \"katalog\"', /servers/0/service",
    "'\"name\": \"catalogue-kochi-a-1\"', '\"name\": \"Kochi 1\"', /servers/0/name",
    "'[', '[ 7, ', /servers/0",
  })
  void should_report_the_location_when_a_server_entry_is_invalid(
      String oldText, String newText, String pointer) throws Exception {
    files.replace("servers.json", oldText, newText);
    assertThat(findings()).extracting(Finding::pointer).contains(pointer);
  }

  @Test
  void should_report_a_missing_file_when_a_required_file_is_absent() throws Exception {
    files.delete("customers.json");
    assertThat(findings())
        .singleElement()
        .hasToString("customers.json#: expected this file in the directory; it is missing");
  }

  private List<Finding> findings() {
    return catchThrowableOfType(
            InvalidInventoryException.class, () -> InventoryDirectory.read(files.directory()))
        .findings();
  }
}

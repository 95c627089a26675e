package org.bambooarch.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "org.bambooarch", importOptions = ImportOption.DoNotIncludeTests.class)
class ModuleDependenciesTest {

  private static final String CORE = "org.bambooarch.core..";
  private static final String HTTP = "org.bambooarch.http..";
  private static final String INVENTORY = "org.bambooarch.inventory..";
  private static final String STORE = "org.bambooarch.store..";
  private static final String PLATFORM = "org.bambooarch.platform..";
  private static final String GATEWAY = "org.bambooarch.gateway..";
  private static final String PEER = "org.bambooarch.peer..";
  private static final String ENTRY = "org.bambooarch.entry..";
  private static final String STANDIN = "org.bambooarch.standin..";
  private static final String CLI = "org.bambooarch.cli..";

  @ArchTest
  static final ArchRule core_should_depend_on_no_other_module =
      noClasses()
          .that()
          .resideInAPackage(CORE)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(HTTP, INVENTORY, STORE, PEER, ENTRY, STANDIN, CLI);

  @ArchTest
  static final ArchRule http_should_depend_on_no_other_module =
      noClasses()
          .that()
          .resideInAPackage(HTTP)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(CORE, INVENTORY, STORE, PEER, GATEWAY, PLATFORM, ENTRY, STANDIN, CLI);

  @ArchTest
  static final ArchRule core_should_do_no_input_or_output =
      noClasses()
          .that()
          .resideInAPackage(CORE)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.io..",
              "java.nio.file..",
              "java.nio.channels..",
              "java.net.http..",
              "java.sql..",
              "io.netty..",
              "com.linecorp..",
              "com.google.protobuf..",
              "com.fasterxml..",
              "org.tinylog..",
              "io.prometheus..");

  @ArchTest
  static final ArchRule core_should_get_time_and_random_numbers_from_its_caller =
      noClasses()
          .that()
          .resideInAPackage(CORE)
          .and()
          .doNotHaveSimpleName("SystemClock")
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(Math.class, "random")
          .orShould()
          .callMethod(java.util.concurrent.ThreadLocalRandom.class, "current")
          .orShould()
          .callConstructor(java.util.Random.class);

  @ArchTest
  static final ArchRule inventory_should_not_depend_on_store_peer_entry_standins_or_commands =
      noClasses()
          .that()
          .resideInAPackage(INVENTORY)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(STORE, PEER, ENTRY, STANDIN, CLI);

  @ArchTest
  static final ArchRule store_should_not_depend_on_peer_entry_standins_or_commands =
      noClasses()
          .that()
          .resideInAPackage(STORE)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(PEER, ENTRY, STANDIN, CLI);

  @ArchTest
  static final ArchRule only_the_command_line_should_depend_on_the_platform_module =
      noClasses()
          .that()
          .resideOutsideOfPackages(PLATFORM, CLI)
          .should()
          .dependOnClassesThat()
          .resideInAPackage(PLATFORM);

  @ArchTest
  static final ArchRule platform_should_not_use_server_selection =
      noClasses()
          .that()
          .resideInAPackage(PLATFORM)
          .should()
          .dependOnClassesThat()
          .haveNameMatching(
              "org\\.bambooarch\\.core\\.steering\\.(place\\.(ServerChooser|ServerTable)"
                  + "|RetryDecider"
                  + "|fleet\\.(CustomerRateLimiter|FleetTable|ServiceRetryBudgets)).*");

  @ArchTest
  static final ArchRule gateway_should_depend_on_core_http_and_peer_only =
      noClasses()
          .that()
          .resideInAPackage(GATEWAY)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(INVENTORY, STORE, ENTRY, STANDIN, CLI, PLATFORM);

  @ArchTest
  static final ArchRule peer_should_depend_on_core_only =
      noClasses()
          .that()
          .resideInAPackage(PEER)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(INVENTORY, STORE, ENTRY, STANDIN, CLI);

  @ArchTest
  static final ArchRule entry_should_not_use_standins_or_commands =
      noClasses()
          .that()
          .resideInAPackage(ENTRY)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(STANDIN, CLI);

  @ArchTest
  static final ArchRule standins_should_not_depend_on_inventory_peer_entry_or_commands =
      noClasses()
          .that()
          .resideInAPackage(STANDIN)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(INVENTORY, PEER, ENTRY, CLI);

  @ArchTest
  static final ArchRule internal_packages_should_be_used_by_their_module_only =
      noClasses()
          .that()
          .resideOutsideOfPackage(INVENTORY)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("org.bambooarch.inventory.internal..");

  @ArchTest
  static final ArchRule modules_should_form_no_cycle =
      slices().matching("org.bambooarch.(*)..").should().beFreeOfCycles();
}

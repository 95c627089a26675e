package org.bambooarch.soak;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(
    packages = "org.bambooarch.soak",
    importOptions = ImportOption.DoNotIncludeTests.class)
class SoakDependenciesTest {

  @ArchTest
  static final ArchRule soak_should_use_nothing_of_other_modules_but_the_fake_of_the_store =
      classes()
          .that()
          .resideInAPackage("org.bambooarch.soak..")
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage(
              "org.bambooarch.soak..",
              "org.bambooarch.platform.fake..",
              "joptsimple..",
              "org.tinylog..",
              "java..");
}

package org.bambooarch.inventory.internal.read;

import org.bambooarch.core.inventory.DrainRule;

/** Reads drain rules. */
final class RulesReader {

  private RulesReader() {}

  static void read(FieldReader file, InventoryDraft draft) {
    for (FieldReader reader : file.objects("drains")) {
      DrainRule.Kind kind = reader.enumConstant("kind", DrainRule.Kind.class);
      draft
          .drains()
          .add(new Located<>(new DrainRule(kind, reader.string("name")), reader.location()));
      reader.reportUnknownFields();
    }
  }
}

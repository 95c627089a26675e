package org.bambooarch.inventory.internal.read;

import static org.bambooarch.inventory.error.LinkErrors.notTwoRegions;

import java.util.List;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.Link;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.inventory.Findings;

/**
 * Reads regions, data centres and links. A link with {@code between} stands for both directions;
 * one with {@code from} and {@code to} for one direction.
 */
final class PlacesReader {

  private PlacesReader() {}

  static void read(FieldReader file, InventoryDraft draft, Findings findings) {
    for (FieldReader reader : file.objects("regions")) {
      draft.regions().add(new Located<>(new Region(reader.string("name")), reader.location()));
      reader.reportUnknownFields();
    }
    for (FieldReader reader : file.objects("dataCentres")) {
      DataCentre dataCentre = new DataCentre(reader.string("name"), reader.string("region"));
      draft.dataCentres().add(new Located<>(dataCentre, reader.location()));
      reader.reportUnknownFields();
    }
    for (FieldReader reader : file.objects("links")) {
      readLink(reader, draft, findings);
      reader.reportUnknownFields();
    }
  }

  private static void readLink(FieldReader reader, InventoryDraft draft, Findings findings) {
    long capBytesPerSecond =
        reader.wholeNumber(
            "capBytesPerSecond",
            InventoryLimits.MIN_CAP_BYTES_PER_SECOND,
            InventoryLimits.MAX_CAP_BYTES_PER_SECOND);
    long delayMicros = reader.wholeNumber("delayMicros", 0, InventoryLimits.MAX_DELAY_MICROS);
    if (!reader.has("between")) {
      Link link =
          new Link(reader.string("from"), reader.string("to"), capBytesPerSecond, delayMicros);
      draft.links().add(new Located<>(link, reader.location()));
      return;
    }
    List<String> regions = reader.strings("between");
    if (regions.size() != 2) {
      findings.add(notTwoRegions(reader.location("between"), regions));
      return;
    }
    Link forward = new Link(regions.get(0), regions.get(1), capBytesPerSecond, delayMicros);
    Link backward = new Link(regions.get(1), regions.get(0), capBytesPerSecond, delayMicros);
    draft.links().add(new Located<>(forward, reader.location()));
    draft.links().add(new Located<>(backward, reader.location()));
  }
}

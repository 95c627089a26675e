package org.bambooarch.inventory.internal.read;

import static org.bambooarch.inventory.error.LinkErrors.notTwoRegions;

import java.util.List;
import org.bambooarch.core.inventory.DataCentre;
import org.bambooarch.core.inventory.Link;
import org.bambooarch.core.inventory.Region;
import org.bambooarch.inventory.Findings;

/** Reads regions, data centres and links. */
final class PlacesReader {

  private PlacesReader() {}

  static void read(FieldReader file, InventoryDraft draft, Findings findings) {
    for (FieldReader reader : file.objects("regions")) {
      draft.regions().add(new Located<>(new Region(reader.text("name")), reader.location()));
      reader.finish();
    }
    for (FieldReader reader : file.objects("dataCentres")) {
      DataCentre dataCentre = new DataCentre(reader.text("name"), reader.text("region"));
      draft.dataCentres().add(new Located<>(dataCentre, reader.location()));
      reader.finish();
    }
    for (FieldReader reader : file.objects("links")) {
      readLink(reader, draft, findings);
      reader.finish();
    }
  }

  private static void readLink(FieldReader reader, InventoryDraft draft, Findings findings) {
    long cap =
        reader.whole(
            "capBytesPerSecond", Limits.MIN_CAP_BYTES_PER_SECOND, Limits.MAX_CAP_BYTES_PER_SECOND);
    long delay = reader.whole("delayMicros", 0, Limits.MAX_DELAY_MICROS);
    if (!reader.has("between")) {
      Link link = new Link(reader.text("from"), reader.text("to"), cap, delay);
      draft.links().add(new Located<>(link, reader.location()));
      return;
    }
    List<String> ends = reader.texts("between");
    if (ends.size() != 2) {
      findings.add(notTwoRegions(reader.location("between"), ends));
      return;
    }
    Link there = new Link(ends.get(0), ends.get(1), cap, delay);
    Link back = new Link(ends.get(1), ends.get(0), cap, delay);
    draft.links().add(new Located<>(there, reader.location()));
    draft.links().add(new Located<>(back, reader.location()));
  }
}

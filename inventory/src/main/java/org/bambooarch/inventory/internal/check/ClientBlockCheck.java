package org.bambooarch.inventory.internal.check;

import static org.bambooarch.inventory.error.ClientBlockErrors.invalidCidr;
import static org.bambooarch.inventory.error.ClientBlockErrors.undeclaredOverlap;
import static org.bambooarch.inventory.error.ClientBlockErrors.duplicateBlock;
import static org.bambooarch.inventory.error.ClientBlockErrors.wrongExceptionTo;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.bambooarch.core.inventory.ClientBlock;
import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.Location;
import org.bambooarch.inventory.internal.read.InventoryDraft;
import org.bambooarch.inventory.internal.read.Located;

/**
 * Client blocks are well formed and overlap only where that is declared.
 *
 * <p>Two blocks overlap only if one lies inside the other. One pass over the sorted blocks with a
 * stack of the blocks around the current one finds every such pair.
 */
final class ClientBlockCheck implements Check {

  @Override
  public void run(InventoryDraft draft, Findings findings) {
    List<Entry> entries = parsed(draft, findings);
    entries.sort((a, b) -> a.cidr().compareTo(b.cidr()));
    Deque<Entry> around = new ArrayDeque<>();
    for (Entry entry : entries) {
      while (!around.isEmpty() && !around.peek().cidr().contains(entry.cidr())) {
        around.pop();
      }
      check(entry, around.peek(), draft, findings);
      around.push(entry);
    }
  }

  private static List<Entry> parsed(InventoryDraft draft, Findings findings) {
    List<Entry> entries = new ArrayList<>();
    for (Located<ClientBlock> row : draft.clientBlocks()) {
      String text = row.value().cidr();
      if (text.isEmpty()) {
        continue;
      }
      Location location = row.location().child("cidr");
      Optional<Cidr> cidr = Cidr.parse(text);
      if (cidr.isEmpty()) {
        findings.add(invalidCidr(location, text, "not an address, a slash and a prefix length"));
      } else if (!cidr.get().hasNoHostBits()) {
        findings.add(invalidCidr(location, text, "bits are set behind the prefix"));
      } else {
        entries.add(new Entry(cidr.get(), row));
      }
    }
    return entries;
  }

  private static void check(Entry entry, Entry outer, InventoryDraft draft, Findings findings) {
    Location location = entry.row().location();
    ClientBlock block = entry.row().value();
    String declared = draft.declaredOuterBlocks().getOrDefault(location, "");
    if (outer == null) {
      if (!declared.isEmpty()) {
        findings.add(wrongExceptionTo(location.child("exceptionTo"), declared, ""));
      }
      return;
    }
    Location outerLocation = outer.row().location();
    String outerCidr = outer.row().value().cidr();
    if (outer.cidr().equals(entry.cidr())) {
      findings.add(
          duplicateBlock(location.child("cidr"), outerCidr, outer.row().value().dataCentre(), outerLocation));
    } else if (declared.isEmpty()) {
      findings.add(undeclaredOverlap(location.child("cidr"), block.cidr(), outerCidr, outerLocation));
    } else if (!Cidr.parse(declared).equals(Optional.of(outer.cidr()))) {
      findings.add(wrongExceptionTo(location.child("exceptionTo"), declared, outerCidr));
    }
  }

  private record Entry(Cidr cidr, Located<ClientBlock> row) {}
}

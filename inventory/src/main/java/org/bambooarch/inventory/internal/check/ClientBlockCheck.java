package org.bambooarch.inventory.internal.check;

import static org.bambooarch.inventory.error.ClientBlockErrors.duplicateBlock;
import static org.bambooarch.inventory.error.ClientBlockErrors.invalidCidr;
import static org.bambooarch.inventory.error.ClientBlockErrors.undeclaredOverlap;
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
 * Checks that client blocks are well formed and overlap only where this is declared.
 *
 * <p>Two blocks overlap only if one lies inside the other. One pass over the sorted blocks, with a
 * stack of the blocks that enclose the current one, finds the narrowest enclosing block of each.
 */
final class ClientBlockCheck implements Check {

  @Override
  public void run(InventoryDraft draft, Findings findings) {
    List<ParsedBlock> parsedBlocks = parseBlocks(draft, findings);
    parsedBlocks.sort((a, b) -> a.cidr().compareTo(b.cidr()));
    Deque<ParsedBlock> enclosing = new ArrayDeque<>();
    for (ParsedBlock parsedBlock : parsedBlocks) {
      while (!enclosing.isEmpty() && !enclosing.peek().cidr().contains(parsedBlock.cidr())) {
        enclosing.pop();
      }
      checkNesting(parsedBlock, enclosing.peek(), draft, findings);
      enclosing.push(parsedBlock);
    }
  }

  private static List<ParsedBlock> parseBlocks(InventoryDraft draft, Findings findings) {
    List<ParsedBlock> parsedBlocks = new ArrayList<>();
    for (Located<ClientBlock> entry : draft.clientBlocks()) {
      String cidrText = entry.value().cidr();
      if (cidrText.isEmpty()) {
        continue;
      }
      Location location = entry.location().child("cidr");
      Optional<Cidr> cidr = Cidr.parse(cidrText);
      if (cidr.isEmpty()) {
        findings.add(
            invalidCidr(location, cidrText, "not an address, a slash and a prefix length"));
      } else if (!cidr.get().hasNoHostBits()) {
        findings.add(invalidCidr(location, cidrText, "bits are set after the prefix"));
      } else {
        parsedBlocks.add(new ParsedBlock(cidr.get(), entry));
      }
    }
    return parsedBlocks;
  }

  private static void checkNesting(
      ParsedBlock parsedBlock,
      ParsedBlock enclosingBlock,
      InventoryDraft draft,
      Findings findings) {
    Location location = parsedBlock.entry().location();
    ClientBlock clientBlock = parsedBlock.entry().value();
    String declaredCidr = draft.declaredOuterBlocks().getOrDefault(location, "");
    if (enclosingBlock == null) {
      if (!declaredCidr.isEmpty()) {
        findings.add(wrongExceptionTo(location.child("exceptionTo"), declaredCidr, ""));
      }
      return;
    }
    Location enclosingLocation = enclosingBlock.entry().location();
    String enclosingCidr = enclosingBlock.entry().value().cidr();
    if (enclosingBlock.cidr().equals(parsedBlock.cidr())) {
      findings.add(
          duplicateBlock(
              location.child("cidr"),
              enclosingCidr,
              enclosingBlock.entry().value().dataCentre(),
              enclosingLocation));
    } else if (declaredCidr.isEmpty()) {
      findings.add(
          undeclaredOverlap(
              location.child("cidr"), clientBlock.cidr(), enclosingCidr, enclosingLocation));
    } else if (!Cidr.parse(declaredCidr).equals(Optional.of(enclosingBlock.cidr()))) {
      findings.add(wrongExceptionTo(location.child("exceptionTo"), declaredCidr, enclosingCidr));
    }
  }

  private record ParsedBlock(Cidr cidr, Located<ClientBlock> entry) {}
}

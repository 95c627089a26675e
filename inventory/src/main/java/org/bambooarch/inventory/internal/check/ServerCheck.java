package org.bambooarch.inventory.internal.check;

import static org.bambooarch.inventory.error.ValueErrors.fewerConnectionsThanSlots;
import static org.bambooarch.inventory.error.ValueErrors.notIpAddress;

import org.bambooarch.core.inventory.Server;
import org.bambooarch.inventory.Findings;
import org.bambooarch.inventory.Location;
import org.bambooarch.inventory.internal.read.InventoryDraft;
import org.bambooarch.inventory.internal.read.Located;

/**
 * Checks that each server has a unique IP address and port, and a connection limit that is at least
 * its number of slots.
 */
final class ServerCheck implements Check {

  @Override
  public void run(InventoryDraft draft, Findings findings) {
    UniqueValues uniqueAddresses = new UniqueValues("server address", findings);
    for (Located<Server> entry : draft.servers()) {
      checkServer(entry.value(), entry.location(), uniqueAddresses, findings);
    }
  }

  private static void checkServer(
      Server server, Location location, UniqueValues uniqueAddresses, Findings findings) {
    if (server.connectionLimit() < server.slots()) {
      findings.add(
          fewerConnectionsThanSlots(
              location.child("connectionLimit"), server.slots(), server.connectionLimit()));
    }
    if (server.host().isEmpty()) {
      return;
    }
    if (IpAddresses.parse(server.host()).isEmpty()) {
      findings.add(notIpAddress(location.child("host"), server.host()));
      return;
    }
    uniqueAddresses.add(server.host() + " port " + server.port(), location);
  }
}

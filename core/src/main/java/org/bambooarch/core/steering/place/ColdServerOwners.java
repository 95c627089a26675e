package org.bambooarch.core.steering.place;

import java.util.List;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.hash.Hashes;

/**
 * Decides which instances may send to a cold server, so that all together keep to its rate.
 *
 * <p>Two instances of the server's region, chosen by rendezvous hashing, get half of the rate each.
 * Instances that see the fleet differently may choose others for a moment; the rate that they may
 * reach together stays below what a cold server bears.
 */
public final class ColdServerOwners {

  /** Instances that may send to the same cold server. */
  static final int OWNERS_PER_SERVER = 2;

  private final InstanceIdentity self;
  private List<InstanceIdentity> otherInstances = List.of();

  /** Creates the choice of an instance that knows no others yet. */
  public ColdServerOwners(InstanceIdentity self) {
    this.self = self;
  }

  /** Takes in the live instances. */
  public void onLiveInstances(List<Heartbeat> live) {
    otherInstances = live.stream().filter(Heartbeat::takesCallers).map(Heartbeat::sender).toList();
  }

  boolean isOwner(ServerState server) {
    boolean anyInRegion = self.region().equals(server.region());
    for (InstanceIdentity other : otherInstances) {
      anyInRegion |= other.region().equals(server.region());
    }
    if (anyInRegion && !self.region().equals(server.region())) {
      return false;
    }
    int higherRanked = 0;
    long ownScore = score(self, server);
    for (InstanceIdentity other : otherInstances) {
      boolean competes = !anyInRegion || other.region().equals(server.region());
      if (competes && Long.compareUnsigned(score(other, server), ownScore) > 0) {
        higherRanked++;
      }
    }
    return higherRanked < OWNERS_PER_SERVER;
  }

  private static long score(InstanceIdentity instance, ServerState server) {
    return server.rendezvousScore(Hashes.of(instance.name()));
  }
}

package org.bambooarch.core.steering.place;

import java.util.List;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.hash.Hashes;

/**
 * Decides which instances may send requests to a cold server, so that all together keep to its rate
 * for cold servers.
 *
 * <p>The owners are two instances of the server's region, chosen by rendezvous hashing, or of any
 * region if the server's region has none. Each may send at half of the rate. Instances whose views
 * of the fleet differ may choose different owners for a short time; the rate that these can reach
 * together is still below what a cold server can handle.
 */
public final class ColdServerOwners {

  /** Number of instances that may send to the same cold server. */
  static final int OWNERS_PER_SERVER = 2;

  private final InstanceIdentity self;
  private List<InstanceIdentity> otherInstances = List.of();

  /** Creates the owners as seen by an instance that knows no others yet. */
  public ColdServerOwners(InstanceIdentity self) {
    this.self = self;
  }

  /** Replaces the other instances by the senders of these heartbeats that take callers. */
  public void onLiveInstances(List<Heartbeat> live) {
    otherInstances = live.stream().filter(Heartbeat::takesCallers).map(Heartbeat::sender).toList();
  }

  /** Returns whether this instance is one of the owners, and so may send to the cold server. */
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

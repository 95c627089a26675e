package org.bambooarch.core.config.internal;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.bambooarch.core.config.ReplicationMember;

/**
 * Chooses the readers of a data centre by rendezvous hashing.
 *
 * <p>Each member has a fixed score, the highest ones read. Instances with different views of the
 * membership disagree on few readers only, and an extra reader does no harm. Published method:
 * Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */
public final class ReaderElection {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private ReaderElection() {}

  /** Returns the readers of a data centre, highest score first. */
  public static List<String> readers(
      Collection<ReplicationMember> members, String dataCentre, int count) {
    return members.stream()
        .filter(member -> member.dataCentre().equals(dataCentre))
        .map(ReplicationMember::instance)
        .sorted(
            Comparator.comparingLong((String instance) -> score(dataCentre, instance))
                .thenComparing(Comparator.naturalOrder()))
        .limit(count)
        .toList();
  }

  private static long score(String dataCentre, String instance) {
    long hash = FNV_OFFSET;
    for (byte each : (dataCentre + '/' + instance).getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ each) * FNV_PRIME;
    }
    // Finalizer of SplitMix64: names that differ in the last letter get unrelated scores.
    hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
    hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
    return hash ^ (hash >>> 31);
  }
}

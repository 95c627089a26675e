package org.bambooarch.core.steering.fleet;

import java.util.List;
import java.util.OptionalLong;

/**
 * The answer to a look-up.
 *
 * @param addresses sorted addresses of instances for callers
 * @param scope from how near to the caller the addresses come
 * @param validUntilNanos monotonic time, in nanoseconds, from which the instances may refuse
 *     requests; empty if none of them is stopping
 */
public record DirectoryAnswer(
    List<String> addresses, DirectoryScope scope, OptionalLong validUntilNanos) {

  /** Makes an unmodifiable copy of the addresses. */
  public DirectoryAnswer {
    addresses = List.copyOf(addresses);
  }

  /** Creates an answer whose instances are not stopping. */
  public DirectoryAnswer(List<String> addresses, DirectoryScope scope) {
    this(addresses, scope, OptionalLong.empty());
  }
}

package org.bambooarch.core.steering.fleet;

import java.util.List;

/**
 * The answer to a look-up.
 *
 * @param addresses sorted addresses of instances for callers
 * @param scope from how near to the caller the addresses come
 */
public record DirectoryAnswer(List<String> addresses, DirectoryScope scope) {

  /** Makes an unmodifiable copy of the addresses. */
  public DirectoryAnswer {
    addresses = List.copyOf(addresses);
  }
}

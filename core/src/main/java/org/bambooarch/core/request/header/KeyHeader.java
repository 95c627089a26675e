package org.bambooarch.core.request.header;

import java.util.Optional;

/** What the headers of a request say about the caller's key. */
public sealed interface KeyHeader {

  /** Returns the key if there is exactly one. */
  default Optional<String> key() {
    return this instanceof Single(String value) ? Optional.of(value) : Optional.empty();
  }

  /** No key came with the request. */
  record Missing() implements KeyHeader {}

  /** Two or more different keys came with the request. */
  record Ambiguous() implements KeyHeader {}

  /**
   * One key came with the request.
   *
   * @param value the key itself, which must not be logged, stored or sent on
   */
  record Single(String value) implements KeyHeader {

    @Override
    public String toString() {
      return "Single[value=hidden]";
    }
  }
}

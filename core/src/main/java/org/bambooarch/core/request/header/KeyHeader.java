package org.bambooarch.core.request.header;

import java.util.Optional;

/** The API key found in the headers of a request, if any. */
public sealed interface KeyHeader {

  /** Returns the key if the request carries exactly one. */
  default Optional<String> key() {
    return this instanceof Single(String value) ? Optional.of(value) : Optional.empty();
  }

  /** The request carries no key. */
  record Missing() implements KeyHeader {}

  /** The request carries two or more different keys. */
  record Ambiguous() implements KeyHeader {}

  /**
   * The request carries one key, possibly more than once.
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

package org.bambooarch.core.steering.fleet;

/** From how near to the caller the addresses of an answer to a look-up come. */
public enum DirectoryScope {

  /** The caller's data centre. */
  DATA_CENTRE,

  /** Any data centre of the caller's region, which has none in the caller's data centre. */
  REGION,

  /** Any region, since the caller's has none. */
  ANY_REGION,

  /** There are no addresses. */
  NONE
}

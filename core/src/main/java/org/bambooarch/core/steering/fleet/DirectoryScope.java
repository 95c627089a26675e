package org.bambooarch.core.steering.fleet;

/** From how near to the caller the addresses of an answer to a look-up come. */
public enum DirectoryScope {

  /** The caller's data centre. */
  DATA_CENTRE,

  /** Any data centre of the caller's region, which has none in the caller's data centre. */
  REGION,

  /** The caller's region, which has only instances that are stopping and still accept requests. */
  STOPPING_IN_REGION,

  /** The regions that the host's routes with home regions permit, since the caller's has none. */
  HOME_REGIONS,

  /** Any region, since the caller's has none and the host's routes permit all. */
  ANY_REGION,

  /** There are no addresses. */
  NONE
}

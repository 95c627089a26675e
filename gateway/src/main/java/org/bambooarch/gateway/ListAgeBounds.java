package org.bambooarch.gateway;

import org.bambooarch.gateway.spi.Topic;

/**
 * How old the store's lists may be: the longest times from the store's acknowledgement of a change
 * until all instances act on it.
 *
 * @param operatorsMillis bound for the operators' list, in milliseconds
 * @param serversMillis bound for the list of servers, in milliseconds
 * @param minLapseMillis shortest outage of the store in which entries of running servers can lapse,
 *     in milliseconds
 */
public record ListAgeBounds(long operatorsMillis, long serversMillis, long minLapseMillis) {

  /** Returns the bound for a list, in milliseconds. */
  public long millisOf(Topic topic) {
    return topic == Topic.OPERATOR ? operatorsMillis : serversMillis;
  }
}

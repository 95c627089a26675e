package org.bambooarch.gateway.control;

import io.netty.channel.Channel;
import java.util.OptionalLong;

/** Tells since when the data of connections has been here, read or not. */
@FunctionalInterface
public interface DataAge {

  /**
   * Returns how long ago the last data of a connection arrived, in nanoseconds; empty if the
   * operating system does not tell.
   */
  OptionalLong sinceLastDataNanos(Channel channel);
}

package org.bambooarch.store;

import java.util.List;

/**
 * The platform's list of running and leaving instances.
 *
 * <p>The list lags behind: it may still hold instances that have ended and lack ones that have
 * started. Calls block.
 */
public interface InstanceList {

  /** Reads the list as the platform has it now. */
  List<InstanceRecord> listInstances() throws PlatformException;

  /** Tells the platform that this instance is running, or leaving if {@code self.leaving()}. */
  void announce(InstanceRecord self) throws PlatformException;
}

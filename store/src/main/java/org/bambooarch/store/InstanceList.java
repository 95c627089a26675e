package org.bambooarch.store;

import java.util.List;

/** The platform's list of live and leaving instances, which lags behind the truth. */
public interface InstanceList {

  /** Returns the list as the platform sees it now. */
  List<InstanceRecord> listInstances() throws PlatformException;

  /** Tells the platform that this instance runs, or that it is leaving. */
  void announce(InstanceRecord self) throws PlatformException;
}

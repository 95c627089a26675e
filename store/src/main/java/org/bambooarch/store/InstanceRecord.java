package org.bambooarch.store;

/**
 * An entry of the platform's list of instances.
 *
 * <p>The component names are the field names of its JSON form.
 *
 * @param name unique name of the instance
 * @param dataCentre name of its data centre
 * @param host IP address in text form
 * @param callersPort TCP port for requests of callers
 * @param peersPort TCP port for connections of other instances
 * @param operatorsPort TCP port for requests of operators, or 0 if it is not known
 * @param leaving whether the instance has announced that it is shutting down
 */
public record InstanceRecord(
    String name,
    String dataCentre,
    String host,
    int callersPort,
    int peersPort,
    int operatorsPort,
    boolean leaving) {

  /** Creates a list entry whose port for operators is not known, and hence 0. */
  public InstanceRecord(
      String name,
      String dataCentre,
      String host,
      int callersPort,
      int peersPort,
      boolean leaving) {
    this(name, dataCentre, host, callersPort, peersPort, 0, leaving);
  }
}

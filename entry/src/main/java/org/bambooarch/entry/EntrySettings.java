package org.bambooarch.entry;

/**
 * The settings of one entry instance, read from its JSON settings file.
 *
 * @param name unique name of the instance
 * @param dataCentre name of the data centre that holds it
 * @param host IP number on which it listens
 * @param callersPort port for callers; 0 takes any free port
 * @param peersPort port for other instances; 0 takes any free port
 * @param operatorsPort port for operators; 0 takes any free port
 * @param platformUri base URI of the platform's services
 * @param platformTimeoutMillis time limit of one call to the platform
 * @param control how it acts together with other instances; absent for an instance alone
 */
public record EntrySettings(
    String name,
    String dataCentre,
    String host,
    int callersPort,
    int peersPort,
    int operatorsPort,
    String platformUri,
    long platformTimeoutMillis,
    ControlSettings control) {

  /** Fills in the settings of an instance alone. */
  public EntrySettings {
    control = control == null ? ControlSettings.withoutPeers() : control;
  }

  /** Returns settings of an instance without peers. */
  public EntrySettings(
      String name,
      String dataCentre,
      String host,
      int callersPort,
      int peersPort,
      int operatorsPort,
      String platformUri,
      long platformTimeoutMillis) {
    this(
        name,
        dataCentre,
        host,
        callersPort,
        peersPort,
        operatorsPort,
        platformUri,
        platformTimeoutMillis,
        ControlSettings.withoutPeers());
  }
}

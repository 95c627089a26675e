package org.bambooarch.entry;

/**
 * Settings of one entry instance, read from its JSON settings file.
 *
 * @param name unique name of the instance
 * @param dataCentre name of the data centre in which it runs
 * @param host IP address on which it listens
 * @param callersPort port for callers; 0 selects a free port
 * @param peersPort port for other instances; 0 selects a free port
 * @param operatorsPort port for operators; 0 selects a free port
 * @param platformUri base URI of the platform's services
 * @param platformTimeoutMillis time limit of one call to the platform, in milliseconds
 * @param control settings for the cooperation with other instances; absent or null for an instance
 *     without peers
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

  /** Replaces a null control block by that of an instance without peers. */
  public EntrySettings {
    control = control == null ? ControlSettings.withoutPeers() : control;
  }

  /** Creates the settings of an instance without peers. */
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

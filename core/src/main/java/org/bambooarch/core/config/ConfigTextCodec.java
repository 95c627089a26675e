package org.bambooarch.core.config;

/** Reads and writes the stored text of changes and snapshots. */
public interface ConfigTextCodec {

  /** Returns the change that a row of the table holds. */
  ConfigChange readChange(String text) throws ConfigFormatException;

  /** Returns the state that a snapshot holds. */
  ConfigState readSnapshot(String text) throws ConfigFormatException;

  /** Returns the snapshot of a state. */
  String writeSnapshot(ConfigState state);
}

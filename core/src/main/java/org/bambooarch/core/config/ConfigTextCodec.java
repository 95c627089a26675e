package org.bambooarch.core.config;

/** Converts changes and snapshots from and to the text in which they are stored. */
public interface ConfigTextCodec {

  /**
   * Reads a change from the text of its row in the table.
   *
   * @throws ConfigFormatException if this version of the software cannot read the text
   */
  ConfigChange readChange(String text) throws ConfigFormatException;

  /**
   * Reads a state from the text of its snapshot.
   *
   * @throws ConfigFormatException if this version of the software cannot read the text
   */
  ConfigState readSnapshot(String text) throws ConfigFormatException;

  /** Writes a state as the text of a snapshot. */
  String writeSnapshot(ConfigState state);
}

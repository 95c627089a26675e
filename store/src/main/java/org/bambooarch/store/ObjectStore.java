package org.bambooarch.store;

import java.util.List;
import java.util.Optional;

/**
 * The platform's object store.
 *
 * <p>Calls block; run them on a virtual thread and never on an event loop.
 */
public interface ObjectStore {

  /** Stores an object, replacing one of the same name. */
  void put(String name, byte[] content) throws PlatformException;

  /** Reads an object; empty if it does not exist. */
  Optional<byte[]> get(String name) throws PlatformException;

  /** Returns the names of all objects that start with a prefix, in ascending order. */
  List<String> list(String namePrefix) throws PlatformException;

  /** Deletes an object; does nothing if it does not exist. */
  void delete(String name) throws PlatformException;
}

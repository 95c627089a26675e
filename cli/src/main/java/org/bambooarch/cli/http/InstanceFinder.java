package org.bambooarch.cli.http;

import java.util.List;
import joptsimple.OptionSet;
import org.bambooarch.cli.CommandErrors;
import org.bambooarch.cli.CommandException;
import org.bambooarch.cli.ExitCode;
import org.bambooarch.cli.config.PlatformOptions;
import org.bambooarch.store.InstanceRecord;
import org.bambooarch.store.PlatformException;

/** Finds instances in the platform's instance list. */
public final class InstanceFinder {

  private InstanceFinder() {}

  /** Returns the whole list, which lags behind the start and stop of instances. */
  public static List<InstanceRecord> findAll(OptionSet options) throws CommandException {
    try {
      return PlatformOptions.platform(options).listInstances();
    } catch (PlatformException e) {
      throw CommandErrors.platformUnreachable(PlatformOptions.uri(options), e);
    }
  }

  /** Returns the instance with a name, or throws if the list does not have it. */
  public static InstanceRecord findByName(String name, OptionSet options) throws CommandException {
    for (InstanceRecord instance : findAll(options)) {
      if (instance.name().equals(name)) {
        return instance;
      }
    }
    throw new CommandException(
        ExitCode.USAGE,
        "no instance \"" + name + "\" in the platform's list; status prints all instances");
  }
}

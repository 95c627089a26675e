package org.bambooarch.cli.config;

import java.time.Duration;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.bambooarch.store.config.ConfigRepository;
import org.bambooarch.store.http.HttpPlatformClient;

/** The options of commands that connect to the platform. */
public final class PlatformOptions {

  private static final String PLATFORM = "platform";
  private static final String TIMEOUT_MILLIS = "timeout-millis";
  private static final String AUTHOR = "author";
  private static final String DEFAULT_URI = "http://127.0.0.1:20000";
  private static final long DEFAULT_TIMEOUT_MILLIS = 5_000;

  private PlatformOptions() {}

  /** Declares the options of commands that read from the platform. */
  public static void declareForReading(OptionParser options) {
    options
        .accepts(PLATFORM, "base URI of the platform's services")
        .withRequiredArg()
        .defaultsTo(DEFAULT_URI);
    options
        .accepts(TIMEOUT_MILLIS, "time limit of one call to the platform, in ms")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(DEFAULT_TIMEOUT_MILLIS);
  }

  /** Declares the options of commands that also change the configuration. */
  public static void declareForChanges(OptionParser options) {
    declareForReading(options);
    options
        .accepts(AUTHOR, "name shown to an operator whose change conflicts")
        .withRequiredArg()
        .defaultsTo(System.getProperty("user.name", "operator"));
  }

  /** Returns the base URI of the platform. */
  public static String uri(OptionSet options) {
    return (String) options.valueOf(PLATFORM);
  }

  /** Returns a new client of the platform; it connects when it is first used. */
  public static HttpPlatformClient platform(OptionSet options) {
    long timeoutMillis = (Long) options.valueOf(TIMEOUT_MILLIS);
    return HttpPlatformClient.create(uri(options), Duration.ofMillis(timeoutMillis));
  }

  /** Returns the repository of configuration changes on the platform. */
  public static ConfigRepository repository(OptionSet options) {
    return new ConfigRepository(platform(options));
  }

  /** Returns the name under which changes are proposed; by default the name of the OS user. */
  public static String author(OptionSet options) {
    return (String) options.valueOf(AUTHOR);
  }
}

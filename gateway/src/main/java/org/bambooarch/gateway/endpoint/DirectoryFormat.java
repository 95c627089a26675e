package org.bambooarch.gateway.endpoint;

import com.linecorp.armeria.common.HttpRequest;
import java.util.List;
import java.util.Optional;
import org.bambooarch.core.steering.fleet.DirectoryLookup;

/** Wire format of directory lookups and readiness probes. */
public interface DirectoryFormat {

  /** Reads a directory lookup; returns empty if the request is not one. */
  Optional<DirectoryLookup> readLookup(HttpRequest request);

  /**
   * Returns the JSON body of the response to a lookup.
   *
   * @param addresses addresses of the instances to use
   * @param ttlMillis how long the client may cache the response, in milliseconds
   */
  String lookupResponse(List<String> addresses, long ttlMillis);

  /** Returns whether a request is a readiness probe of the platform. */
  boolean isReadinessProbe(HttpRequest request);
}

package org.bambooarch.gateway.endpoint;

import com.linecorp.armeria.common.HttpRequest;
import java.util.List;
import java.util.Optional;

/** Translates look-ups of callers and their answers. */
public interface DirectoryFormat {

  /**
   * Where a caller is that asks which instance to use.
   *
   * @param region its region
   * @param dataCentre its data centre
   */
  record Lookup(String region, String dataCentre) {}

  /** Reads a look-up; empty if the request is none. */
  Optional<Lookup> readLookup(HttpRequest request);

  /** Returns the JSON text of an answer. */
  String lookupResponse(List<String> addresses, long ttlMillis);

  /** Returns whether a request asks if the instance is ready. */
  boolean isReadinessProbe(HttpRequest request);
}

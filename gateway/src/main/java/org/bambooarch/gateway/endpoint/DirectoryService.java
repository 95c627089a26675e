package org.bambooarch.gateway.endpoint;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Optional;
import org.bambooarch.core.steering.fleet.DirectoryAnswer;
import org.bambooarch.core.steering.fleet.DirectoryLookup;
import org.bambooarch.core.steering.fleet.InstanceDirectory;
import org.bambooarch.gateway.control.ControlState;

/**
 * Responds to clients with the addresses of the instances that they should use. Responds with 404
 * to any other request and with 503 if no instance that accepts clients may be named: clients keep
 * the addresses that they have and ask the next instance.
 */
public final class DirectoryService implements HttpService {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ControlState state;
  private final DirectoryFormat format;
  private final long ttlMillis;
  private final LookupLogger log;

  /**
   * Creates the service.
   *
   * @param ttlMillis longest time that a client may cache a response, in milliseconds
   * @param log told of each answer
   */
  public DirectoryService(
      ControlState state, DirectoryFormat format, long ttlMillis, LookupLogger log) {
    this.state = state;
    this.format = format;
    this.ttlMillis = ttlMillis;
    this.log = log;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) {
    Optional<DirectoryLookup> lookup = format.readLookup(request);
    if (lookup.isEmpty()) {
      return HttpResponse.of(HttpStatus.NOT_FOUND);
    }
    long nowNanos = state.clock().monotonicNanos();
    DirectoryAnswer answer = InstanceDirectory.answer(lookup.get(), knowledge(), nowNanos);
    log.onAnswered(lookup.get(), answer);
    if (answer.addresses().isEmpty()) {
      return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
    }
    return HttpResponse.of(
        HttpStatus.OK,
        MediaType.JSON,
        format.lookupResponse(answer.addresses(), ttlMillisOf(answer, nowNanos)));
  }

  private long ttlMillisOf(DirectoryAnswer answer, long nowNanos) {
    if (answer.validUntilNanos().isEmpty()) {
      return ttlMillis;
    }
    long leftNanos = answer.validUntilNanos().getAsLong() - nowNanos;
    return Math.min(ttlMillis, leftNanos / NANOS_PER_MILLI);
  }

  private InstanceDirectory.Knowledge knowledge() {
    return new InstanceDirectory.Knowledge(
        state.fleet(),
        state.hasMissedConfiguration() ? Optional.empty() : state.config(),
        state.isReady(),
        state.stoppingSelf(),
        state.isPartitionedFromServers());
  }
}

package org.bambooarch.entry.lookup;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.function.Supplier;
import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.routing.InstanceCandidate;
import org.bambooarch.core.routing.LookupSettings;
import org.bambooarch.entry.control.LookupTables;
import org.bambooarch.entry.request.ProblemResponses;

/**
 * Tells a client which entry instances it should use, best first.
 *
 * <p>The client is the sender of the request, or the address in the query parameter {@code client}.
 */
public final class LookupService implements HttpService {

  /** Path of look-ups on the port for callers. */
  public static final String PATH = "/.bambooarch/lookup";

  /** Time for which a client may cache a response, in milliseconds. */
  public static final long TIME_TO_LIVE_MILLIS = 5_000;

  private static final String CLIENT_PARAMETER = "client";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Supplier<LookupTables> tables;

  /**
   * Creates the service.
   *
   * @param tables returns the tables for the configuration in force; called for each request
   */
  public LookupService(Supplier<LookupTables> tables) {
    this.tables = tables;
  }

  /**
   * Returns the default look-up settings, but with {@link #TIME_TO_LIVE_MILLIS} as the time for
   * which clients may cache a response.
   */
  public static LookupSettings settings() {
    LookupSettings defaults = LookupSettings.defaults();
    return new LookupSettings(
        defaults.callerBytesPerSecond(),
        Duration.ofMillis(TIME_TO_LIVE_MILLIS).toNanos(),
        defaults.maxCrossRegionShare());
  }

  /**
   * The body of a successful look-up response.
   *
   * @param instances instances to use, best first
   * @param timeToLiveMillis time for which a client may cache the response, in milliseconds
   */
  public record LookupResponse(List<LookupInstance> instances, long timeToLiveMillis) {}

  /**
   * One instance in a look-up response.
   *
   * @param name name of the instance
   * @param dataCentre its data centre
   * @param host IP address
   * @param port port for callers
   */
  public record LookupInstance(String name, String dataCentre, String host, int port) {

    private static LookupInstance from(InstanceCandidate instance) {
      return new LookupInstance(
          instance.name(), instance.dataCentre(), instance.host(), instance.port());
    }
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request)
      throws JsonProcessingException {
    String clientParameter = context.queryParam(CLIENT_PARAMETER);
    InetAddress client =
        clientParameter == null
            ? context.remoteAddress().getAddress()
            : NetUtil.createInetAddressFromIpAddressString(clientParameter);
    if (client == null) {
      return refuse(
          NotRun.of(
              NotRun.Reason.BAD_REQUEST, "expected an IPv4 or IPv6 number in parameter client"));
    }
    return switch (tables.get().lookUp(client)) {
      case org.bambooarch.core.routing.LookupResult.Instances result -> respond(result.ordered());
      case org.bambooarch.core.routing.LookupResult.RetryLater retryLater ->
          refuse(
              NotRun.of(NotRun.Reason.NO_ROOM, "no instance can be used now within the links' caps")
                  .withRetryAfterMillis(retryLater.retryAfterMillis()));
    };
  }

  private static HttpResponse respond(List<InstanceCandidate> ordered)
      throws JsonProcessingException {
    List<LookupInstance> instances = ordered.stream().map(LookupInstance::from).toList();
    LookupResponse response = new LookupResponse(instances, TIME_TO_LIVE_MILLIS);
    return HttpResponse.of(HttpStatus.OK, MediaType.JSON, MAPPER.writeValueAsBytes(response));
  }

  private static HttpResponse refuse(NotRun refusal) {
    return ProblemResponses.of(refusal, UUID.randomUUID().toString(), false);
  }
}

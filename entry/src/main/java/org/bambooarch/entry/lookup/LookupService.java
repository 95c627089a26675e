package org.bambooarch.entry.lookup;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import org.bambooarch.entry.control.FleetView;
import org.bambooarch.platform.InstanceRecord;

/** Answers which entry instances a caller should use, in order. */
public final class LookupService implements HttpService {

  /** Path of look-ups on the callers' port. */
  public static final String PATH = "/.bambooarch/lookup";

  /** How long a client may cache an answer. */
  public static final long TIME_TO_LIVE_MILLIS = 5_000;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Supplier<FleetView> views;
  private final String localDataCentre;

  /** Creates the service over published views of the fleet. */
  public LookupService(Supplier<FleetView> views, String localDataCentre) {
    this.views = views;
    this.localDataCentre = localDataCentre;
  }

  /**
   * The answer to a look-up.
   *
   * @param instances instances to use, best first
   * @param timeToLiveMillis how long a client may cache the answer
   */
  public record LookupAnswer(List<LookupInstance> instances, long timeToLiveMillis) {}

  /**
   * One instance of an answer.
   *
   * @param name name of the instance
   * @param dataCentre its data centre
   * @param host IP number
   * @param port port for callers
   */
  public record LookupInstance(String name, String dataCentre, String host, int port) {}

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request)
      throws JsonProcessingException {
    List<LookupInstance> instances = new ArrayList<>();
    for (InstanceRecord instance : views.get().instances()) {
      if (!instance.leaving()) {
        instances.add(
            new LookupInstance(
                instance.name(), instance.dataCentre(), instance.host(), instance.callersPort()));
      }
    }
    instances.sort(
        Comparator.comparing((LookupInstance i) -> !i.dataCentre().equals(localDataCentre)));
    LookupAnswer answer = new LookupAnswer(instances, TIME_TO_LIVE_MILLIS);
    return HttpResponse.of(HttpStatus.OK, MediaType.JSON, MAPPER.writeValueAsBytes(answer));
  }
}

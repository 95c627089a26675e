package org.bambooarch.entry.operators;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import com.linecorp.armeria.server.SimpleDecoratingHttpService;

/** Counts the requests of another service when their answers have ended. */
public final class MeteredService extends SimpleDecoratingHttpService {

  private final EntryMetrics metrics;

  private MeteredService(HttpService delegate, EntryMetrics metrics) {
    super(delegate);
    this.metrics = metrics;
  }

  /** Returns a service that answers as the given one does and counts its requests. */
  public static MeteredService around(HttpService delegate, EntryMetrics metrics) {
    return new MeteredService(delegate, metrics);
  }

  @Override
  public HttpResponse serve(ServiceRequestContext context, HttpRequest request) throws Exception {
    context.log().whenComplete().thenAccept(metrics::recordRequest);
    return ((HttpService) unwrap()).serve(context, request);
  }
}

package org.bambooarch.entry.shutdown;

import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import com.linecorp.armeria.server.SimpleDecoratingHttpService;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.time.Clock;
import org.bambooarch.entry.request.ForwardService;
import org.bambooarch.entry.request.ProblemResponses;

/** Knows which requests run on this instance and refuses new ones while it stops. */
public final class InFlightRequests {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long STOPPING_RETRY_AFTER_MILLIS = 1_000;

  private final Set<ServiceRequestContext> running = ConcurrentHashMap.newKeySet();
  private final Object changed = new Object();
  private volatile boolean stopping;

  /** Returns how many requests run now. */
  public int count() {
    return running.size();
  }

  /** Returns a decorator that counts the requests of a service. */
  public Function<HttpService, HttpService> countingDecorator() {
    return CountingService::new;
  }

  /**
   * Refuses new requests and waits until none runs or the deadline has passed.
   *
   * @return whether all requests have finished
   */
  public boolean refuseNewAndAwaitRunning(long deadlineNanos, Clock clock) {
    stopping = true;
    synchronized (changed) {
      while (!running.isEmpty()) {
        long remainingMillis = (deadlineNanos - clock.monotonicNanos()) / NANOS_PER_MILLI;
        if (remainingMillis <= 0) {
          return false;
        }
        try {
          changed.wait(remainingMillis);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return false;
        }
      }
    }
    return true;
  }

  /** Cancels all requests that still run. */
  public void cancelAll() {
    stopping = true;
    running.forEach(ServiceRequestContext::cancel);
  }

  private void remove(ServiceRequestContext context) {
    running.remove(context);
    synchronized (changed) {
      changed.notifyAll();
    }
  }

  private final class CountingService extends SimpleDecoratingHttpService {

    private CountingService(HttpService delegate) {
      super(delegate);
    }

    @Override
    public HttpResponse serve(ServiceRequestContext context, HttpRequest request) throws Exception {
      running.add(context);
      context.log().whenComplete().thenAccept(log -> remove(context));
      // Checked after the request was added, so that refuseNewAndAwaitRunning() cannot miss one
      // that got in.
      if (stopping) {
        return refuse(request);
      }
      return unwrap().serve(context, request);
    }

    private HttpResponse refuse(HttpRequest request) {
      String requestId =
          request.headers().get(ForwardService.REQUEST_ID_HEADER, UUID.randomUUID().toString());
      NotRun refusal =
          NotRun.of(NotRun.Reason.STOPPING, "this instance is stopping; use another one")
              .withRetryAfterMillis(STOPPING_RETRY_AFTER_MILLIS);
      return ProblemResponses.of(refusal, requestId)
          .mapHeaders(headers -> headers.toBuilder().set("connection", "close").build());
    }
  }
}

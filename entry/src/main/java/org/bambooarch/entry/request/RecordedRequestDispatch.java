package org.bambooarch.entry.request;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.bambooarch.core.request.NotRun;
import org.bambooarch.core.request.Refusal;
import org.bambooarch.core.request.idempotency.DispatchPermit;
import org.bambooarch.core.request.idempotency.IdempotencyDeadlines;
import org.bambooarch.core.request.idempotency.IdempotencyRecordKey;
import org.bambooarch.core.request.idempotency.IdempotencyRecordOwner;
import org.bambooarch.core.request.idempotency.IdempotencyRecordState;
import org.bambooarch.core.request.idempotency.IdempotencyRefusals;
import org.bambooarch.core.request.idempotency.IdempotencyStateMachine;
import org.bambooarch.core.request.idempotency.IdempotencyStep;
import org.bambooarch.core.request.idempotency.RecordedHeader;
import org.bambooarch.core.request.idempotency.RecordedResponse;
import org.bambooarch.core.request.idempotency.RequestDigest;
import org.bambooarch.store.PlatformException;
import org.tinylog.Logger;

/** Runs one send of a recorded non-idempotent request; blocks. */
final class RecordedRequestDispatch {

  private static final long STORE_RETRY_DELAY_MILLIS = 500;

  private final RequestServices services;
  private final CallerRequest request;
  private final IdempotencyRecordKey key;
  private final IdempotencyRecordOwner owner;
  private final IdempotencyStateMachine stateMachine;

  RecordedRequestDispatch(RequestServices services, CallerRequest request, String idempotencyKey) {
    this.services = services;
    this.request = request;
    this.key = new IdempotencyRecordKey(request.customer(), idempotencyKey);
    this.owner = services.newRecordOwner();
    this.stateMachine =
        IdempotencyStateMachine.of(
            key,
            RequestDigest.of(request.method(), request.pathAndQuery(), request.body()),
            owner,
            IdempotencyDeadlines.until(request.deadlineNanos(), services.clock()),
            services.clock());
  }

  HttpResponse run() throws InterruptedException {
    IdempotencyStep step = stateMachine.start();
    while (step instanceof IdempotencyStep.Call call) {
      step = stateMachine.onReply(services.idempotencyRecords().execute(call));
    }
    return switch (step) {
      case IdempotencyStep.Proceed(DispatchPermit permit) -> dispatch(permit);
      case IdempotencyStep.Replay(RecordedResponse response) -> replay(response);
      case IdempotencyStep.Refuse(Refusal refusal) -> {
        releaseIfNotRun(refusal);
        yield ProblemResponses.of(refusal, request.requestId(), mayHaveEarlierSend(refusal));
      }
      case IdempotencyStep.Completed() ->
          throw new IllegalStateException("an open attempt is not closed");
      case IdempotencyStep.Call call ->
          throw new IllegalStateException("calls are carried out above");
    };
  }

  private HttpResponse dispatch(DispatchPermit permit) throws InterruptedException {
    return switch (new RequestDispatch(services, request, Optional.of(permit)).run()) {
      case DispatchResult.Aggregated(AggregatedHttpResponse response) -> {
        runInBackground(() -> recordResponse(response));
        yield HttpResponse.of(
            HeaderConverter.toCallerHeaders(response.headers(), request), response.content());
      }
      case DispatchResult.Refused(NotRun refusal) -> {
        releaseIfNotRun(refusal);
        yield ProblemResponses.of(refusal, request.requestId(), false);
      }
      case DispatchResult.Refused(Refusal refusal) -> {
        runInBackground(
            () -> executeCalls(stateMachine.finish(new IdempotencyRecordState.Unknown())));
        yield ProblemResponses.of(refusal, request.requestId(), false);
      }
      case DispatchResult.Streaming streaming ->
          throw new IllegalStateException("answers of recorded requests are not streamed");
    };
  }

  private HttpResponse replay(RecordedResponse response) {
    try {
      Optional<byte[]> body = services.responseBodies().bodyOf(response);
      if (body.isPresent()) {
        return HttpResponse.of(
            HeaderConverter.toReplayHeaders(
                response.status(), response.headers(), request.requestId()),
            HttpData.wrap(body.get()));
      }
    } catch (PlatformException e) {
      Logger.warn("event=recorded-answer-not-read reason=\"{}\"", e.getMessage());
    }
    return ProblemResponses.of(
        IdempotencyRefusals.responseNotReadable(), request.requestId(), false);
  }

  private void recordResponse(AggregatedHttpResponse response) throws InterruptedException {
    List<RecordedHeader> headers = HeaderConverter.toRecordedHeaders(response.headers());
    byte[] body = response.content().array();
    while (true) {
      try {
        RecordedResponse recorded =
            services.responseBodies().store(key, owner, response.status().code(), headers, body);
        executeCalls(stateMachine.finish(new IdempotencyRecordState.Done(recorded)));
        return;
      } catch (PlatformException e) {
        Logger.warn("event=answer-not-kept reason=\"{}\"", e.getMessage());
        Thread.sleep(STORE_RETRY_DELAY_MILLIS);
      }
    }
  }

  private void releaseIfNotRun(Refusal refusal) {
    if (refusal instanceof NotRun) {
      runInBackground(() -> executeCalls(stateMachine.release()));
    }
  }

  private void executeCalls(IdempotencyStep firstStep) throws InterruptedException {
    IdempotencyStep step = firstStep;
    while (step instanceof IdempotencyStep.Call call) {
      step = stateMachine.onReply(services.idempotencyRecords().execute(call));
    }
  }

  private static boolean mayHaveEarlierSend(Refusal refusal) {
    return refusal instanceof NotRun notRun && notRun.reason() == NotRun.Reason.STORE_UNAVAILABLE;
  }

  private interface InterruptibleTask {
    void run() throws InterruptedException;
  }

  private static void runInBackground(InterruptibleTask task) {
    Thread.startVirtualThread(
        () -> {
          try {
            task.run();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }
}

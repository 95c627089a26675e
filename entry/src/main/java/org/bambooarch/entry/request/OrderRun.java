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
final class OrderRun {

  private static final long ARCHIVE_BACKOFF_MILLIS = 500;

  private final RequestServices services;
  private final CallerRequest request;
  private final IdempotencyRecordKey key;
  private final IdempotencyRecordOwner owner;
  private final IdempotencyStateMachine attempt;

  OrderRun(RequestServices services, CallerRequest request, String idempotencyKey) {
    this.services = services;
    this.request = request;
    this.key = new IdempotencyRecordKey(request.customer(), idempotencyKey);
    this.owner = services.newRecordOwner();
    this.attempt =
        IdempotencyStateMachine.of(
            key,
            RequestDigest.of(request.method(), request.pathAndQuery(), request.body()),
            owner,
            IdempotencyDeadlines.until(request.deadlineNanos(), services.clock()),
            services.clock());
  }

  HttpResponse run() throws InterruptedException {
    IdempotencyStep step = attempt.start();
    while (step instanceof IdempotencyStep.Call call) {
      step = attempt.onReply(services.idempotencyRecords().execute(call));
    }
    return switch (step) {
      case IdempotencyStep.Proceed(DispatchPermit permit) -> dispatch(permit);
      case IdempotencyStep.Replay(RecordedResponse answer) -> replay(answer);
      case IdempotencyStep.Refuse(Refusal refusal) -> {
        releaseIfNotRun(refusal);
        yield ProblemResponses.of(refusal, request.requestId(), isUnchecked(refusal));
      }
      case IdempotencyStep.Completed() ->
          throw new IllegalStateException("an open attempt is not closed");
      case IdempotencyStep.Call call ->
          throw new IllegalStateException("calls are carried out above");
    };
  }

  private HttpResponse dispatch(DispatchPermit permit) throws InterruptedException {
    return switch (new TargetRun(services, request, Optional.of(permit)).run()) {
      case Ending.Whole(AggregatedHttpResponse answer) -> {
        inBackground(() -> record(answer));
        yield HttpResponse.of(
            AnswerHeaders.towardsCaller(answer.headers(), request), answer.content());
      }
      case Ending.Refused(NotRun refusal) -> {
        releaseIfNotRun(refusal);
        yield ProblemResponses.of(refusal, request.requestId(), false);
      }
      case Ending.Refused(Refusal refusal) -> {
        inBackground(() -> closeWith(attempt.finish(new IdempotencyRecordState.Unknown())));
        yield ProblemResponses.of(refusal, request.requestId(), false);
      }
      case Ending.Streaming streaming ->
          throw new IllegalStateException("answers of recorded requests are not streamed");
    };
  }

  private HttpResponse replay(RecordedResponse answer) {
    try {
      Optional<byte[]> body = services.responseBodies().bodyOf(answer);
      if (body.isPresent()) {
        return HttpResponse.of(
            AnswerHeaders.of(answer.status(), answer.headers(), request.requestId()),
            HttpData.wrap(body.get()));
      }
    } catch (PlatformException e) {
      Logger.warn("event=recorded-answer-not-read reason=\"{}\"", e.getMessage());
    }
    return ProblemResponses.of(
        IdempotencyRefusals.responseNotReadable(), request.requestId(), false);
  }

  private void record(AggregatedHttpResponse answer) throws InterruptedException {
    List<RecordedHeader> headers = AnswerHeaders.recorded(answer.headers());
    byte[] body = answer.content().array();
    while (true) {
      try {
        RecordedResponse recorded =
            services.responseBodies().store(key, owner, answer.status().code(), headers, body);
        closeWith(attempt.finish(new IdempotencyRecordState.Done(recorded)));
        return;
      } catch (PlatformException e) {
        Logger.warn("event=answer-not-kept reason=\"{}\"", e.getMessage());
        Thread.sleep(ARCHIVE_BACKOFF_MILLIS);
      }
    }
  }

  private void releaseIfNotRun(Refusal refusal) {
    if (refusal instanceof NotRun) {
      inBackground(() -> closeWith(attempt.release()));
    }
  }

  private void closeWith(IdempotencyStep first) throws InterruptedException {
    IdempotencyStep step = first;
    while (step instanceof IdempotencyStep.Call call) {
      step = attempt.onReply(services.idempotencyRecords().execute(call));
    }
  }

  private static boolean isUnchecked(Refusal refusal) {
    return refusal instanceof NotRun notRun && notRun.reason() == NotRun.Reason.STORE_UNAVAILABLE;
  }

  private interface Work {
    void run() throws InterruptedException;
  }

  private static void inBackground(Work work) {
    Thread.startVirtualThread(
        () -> {
          try {
            work.run();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }
}

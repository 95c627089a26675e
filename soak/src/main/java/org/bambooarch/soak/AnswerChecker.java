package org.bambooarch.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Compares what the clients got with what the servers did. */
final class AnswerChecker {

  /** A promise of the protocol to clients and servers. */
  enum Promise {
    MIXED,
    TWICE,
    REFUSED
  }

  /** A broken promise, with the client's record. */
  record Violation(Promise promise, String reason, ClientAnswer answer) {}

  private final Journal journal;

  AnswerChecker(Journal journal) {
    this.journal = journal;
  }

  /** Returns all broken promises. */
  List<Violation> check() {
    List<Violation> violations = new ArrayList<>();
    Set<String> ranTwice = new HashSet<>();
    for (ClientAnswer answer : journal.answers()) {
      List<ServerRun> runs = journal.runsOf(answer.requestId());
      mixed(answer, runs)
          .ifPresent(reason -> violations.add(new Violation(Promise.MIXED, reason, answer)));
      if (answer.repeatable()) {
        continue;
      }
      long executed = runs.stream().filter(run -> run.ranFor(answer.attempt())).count();
      if (executed > 1 && ranTwice.add(answer.requestId() + "#" + answer.attempt())) {
        violations.add(new Violation(Promise.TWICE, "ran " + executed + " times", answer));
      }
      if (executed > 0 && answer.isRefusal()) {
        violations.add(new Violation(Promise.REFUSED, "refused, but a run began", answer));
      }
    }
    for (ClientAnswer last : journal.unasked()) {
      violations.add(new Violation(Promise.MIXED, "bytes with no request waiting", last));
    }
    return violations;
  }

  private static Optional<String> mixed(ClientAnswer answer, List<ServerRun> runs) {
    if (answer.status() == 0) {
      return answer.problem().startsWith("malformed") ? Optional.of(answer.problem()) : none();
    }
    if (!answer.answeredId().isEmpty() && !answer.answeredId().equals(answer.requestId())) {
      return Optional.of("answer of another request");
    }
    if (answer.seal().isEmpty()) {
      return answer.isSuccess() && answer.complete()
          ? Optional.of("success without a seal")
          : none();
    }
    ServerRun sealed = null;
    for (ServerRun run : runs) {
      if (run.answer().seal().equals(answer.seal())) {
        sealed = run;
        break;
      }
    }
    if (sealed == null) {
      return Optional.of("the seal names no first answer to this request");
    }
    if (sealed.answer().status() != answer.status()) {
      return Optional.of("the server's status was " + sealed.answer().status());
    }
    if (!answer.isSuccess() || !answer.complete()) {
      return none();
    }
    // A close without a reset ends a body without a length, so nothing marks this one as cut.
    if (sealed.fault() == Fault.WITHOUT_LENGTH_CUT_BY_FIN) {
      return none();
    }
    boolean whole =
        sealed.answer().lengthBytes() == answer.lengthBytes()
            && sealed.answer().hash().equals(answer.hash());
    return whole ? none() : Optional.of("the body is not the server's whole body");
  }

  private static Optional<String> none() {
    return Optional.empty();
  }
}

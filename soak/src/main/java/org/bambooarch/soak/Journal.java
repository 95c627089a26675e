package org.bambooarch.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** The records of clients and servers. Safe for use by several threads. */
final class Journal {

  private final ConcurrentHashMap<String, Queue<ServerRun>> runsById = new ConcurrentHashMap<>();
  private final Queue<ClientAnswer> answers = new ConcurrentLinkedQueue<>();
  private final Queue<Lookup> lookups = new ConcurrentLinkedQueue<>();
  private final Queue<HomedRequest> homedRequests = new ConcurrentLinkedQueue<>();
  private final Queue<ClientAnswer> unasked = new ConcurrentLinkedQueue<>();

  void add(ServerRun run) {
    runsById.computeIfAbsent(run.requestId(), id -> new ConcurrentLinkedQueue<>()).add(run);
  }

  void add(Lookup lookup) {
    lookups.add(lookup);
  }

  void add(HomedRequest request) {
    homedRequests.add(request);
  }

  void add(ClientAnswer answer) {
    answers.add(answer);
  }

  /** Records bytes on a connection on which no request waits; the record is the last answer. */
  void addUnasked(ClientAnswer lastAnswer) {
    unasked.add(lastAnswer);
  }

  /** Returns the runs and refusals of an id in the order in which the servers received them. */
  List<ServerRun> runsOf(String requestId) {
    Queue<ServerRun> runs = runsById.get(requestId);
    return runs == null ? List.of() : List.copyOf(runs);
  }

  List<ClientAnswer> answers() {
    return List.copyOf(answers);
  }

  List<ClientAnswer> unasked() {
    return List.copyOf(unasked);
  }

  List<Lookup> lookups() {
    return List.copyOf(lookups);
  }

  List<HomedRequest> homedRequests() {
    return List.copyOf(homedRequests);
  }

  List<ServerRun> runs() {
    List<ServerRun> all = new ArrayList<>();
    runsById.values().forEach(all::addAll);
    return all;
  }
}

package org.bambooarch.peer.codec;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.bambooarch.core.steering.fleet.Heartbeat;
import org.bambooarch.core.steering.fleet.InstanceIdentity;
import org.bambooarch.core.steering.fleet.ListStatus;
import org.bambooarch.core.steering.fleet.ListVersions;
import org.bambooarch.peer.generated.FleetProtocol.HeartbeatMessage;

/**
 * Converts heartbeats to protobuf messages and back.
 *
 * <p>The maps of a heartbeat are written as parallel columns, such as customers, demands and
 * admitted requests, where equal positions belong together.
 */
public final class HeartbeatCodec {

  private static final double HUNDREDTHS_PER_REQUEST = 100;
  private static final double THOUSANDTHS_PER_REQUEST = 1_000;

  private HeartbeatCodec() {}

  /**
   * Returns the encoded heartbeat; demands are rounded to hundredths and limits to thousandths of a
   * request per second.
   */
  public static byte[] encode(Heartbeat heartbeat) {
    InstanceIdentity sender = heartbeat.sender();
    HeartbeatMessage.Builder message =
        HeartbeatMessage.newBuilder()
            .setName(sender.name())
            .setIncarnation(sender.incarnation())
            .setRegion(sender.region())
            .setDataCentre(sender.dataCentre())
            .setCallersAddress(sender.callersAddress())
            .setPeersAddress(sender.peersAddress())
            .setTakesCallers(heartbeat.takesCallers())
            .setAcceptsForMillis(heartbeat.acceptsForMillis())
            .setPartitionedFromServers(heartbeat.partitionedFromServers())
            .setConfigVersion(heartbeat.configVersion());
    encodeLists(heartbeat.listVersions(), message);
    Set<Integer> customers = new TreeSet<>(heartbeat.customerDemand().keySet());
    customers.addAll(heartbeat.customerAdmitted().keySet());
    for (Integer customer : customers) {
      double demand = heartbeat.customerDemand().getOrDefault(customer, 0.0);
      message
          .addCustomers(customer)
          .addDemandsCenti((int) Math.round(demand * HUNDREDTHS_PER_REQUEST))
          .addAdmitted(heartbeat.customerAdmitted().getOrDefault(customer, 0));
    }
    heartbeat
        .inFlight()
        .forEach((server, requests) -> message.addServers(server).addInFlight(requests));
    heartbeat
        .serverLimits()
        .forEach(
            (server, perSecond) ->
                message.addLimitedServers(server).addLimitsMilli(toThousandths(perSecond)));
    for (Heartbeat.ServerCrash crash : heartbeat.crashes()) {
      message.addCrashRequests(crash.requestHash()).addCrashServers(crash.serverHash());
    }
    return message.build().toByteArray();
  }

  private static void encodeLists(ListVersions lists, HeartbeatMessage.Builder message) {
    message
        .setStoreEra(lists.storeEra())
        .setOperatorsChange(lists.operators().newestChange())
        .setOperatorsDigest(lists.operators().digest())
        .setOperatorsConfirmedMillis(lists.operators().confirmedStoreMillis())
        .setServersChange(lists.servers().newestChange())
        .setServersDigest(lists.servers().digest())
        .setServersConfirmedMillis(lists.servers().confirmedStoreMillis());
  }

  private static ListVersions decodeLists(HeartbeatMessage message) {
    return new ListVersions(
        message.getStoreEra(),
        new ListStatus(
            message.getOperatorsChange(),
            message.getOperatorsDigest(),
            message.getOperatorsConfirmedMillis()),
        new ListStatus(
            message.getServersChange(),
            message.getServersDigest(),
            message.getServersConfirmedMillis()));
  }

  private static int toThousandths(double perSecond) {
    return (int) Math.min(Integer.MAX_VALUE, Math.round(perSecond * THOUSANDTHS_PER_REQUEST));
  }

  /**
   * Returns the heartbeat that a datagram holds.
   *
   * @throws InvalidProtocolBufferException if the bytes are not an encoded heartbeat or columns
   *     that belong together differ in length
   */
  public static Heartbeat decode(byte[] bytes) throws InvalidProtocolBufferException {
    HeartbeatMessage message = HeartbeatMessage.parseFrom(bytes);
    // The first builds do not write this column.
    boolean reportsAdmitted = message.getAdmittedCount() > 0;
    if (message.getCustomersCount() != message.getDemandsCentiCount()
        || (reportsAdmitted && message.getCustomersCount() != message.getAdmittedCount())
        || message.getServersCount() != message.getInFlightCount()
        || message.getLimitedServersCount() != message.getLimitsMilliCount()
        || message.getCrashRequestsCount() != message.getCrashServersCount()) {
      throw new InvalidProtocolBufferException(
          "heartbeat with parallel columns of different lengths");
    }
    Map<Integer, Double> demand = new HashMap<>();
    Map<Integer, Integer> admitted = new HashMap<>();
    for (int i = 0; i < message.getCustomersCount(); i++) {
      demand.put(message.getCustomers(i), message.getDemandsCenti(i) / HUNDREDTHS_PER_REQUEST);
      if (reportsAdmitted) {
        admitted.put(message.getCustomers(i), message.getAdmitted(i));
      }
    }
    Map<Integer, Integer> inFlight = new HashMap<>();
    for (int i = 0; i < message.getServersCount(); i++) {
      inFlight.put(message.getServers(i), message.getInFlight(i));
    }
    Map<Integer, Double> limits = new HashMap<>();
    for (int i = 0; i < message.getLimitedServersCount(); i++) {
      limits.put(message.getLimitedServers(i), message.getLimitsMilli(i) / THOUSANDTHS_PER_REQUEST);
    }
    List<Heartbeat.ServerCrash> crashes = new ArrayList<>();
    for (int i = 0; i < message.getCrashRequestsCount(); i++) {
      crashes.add(
          new Heartbeat.ServerCrash(message.getCrashRequests(i), message.getCrashServers(i)));
    }
    InstanceIdentity sender =
        new InstanceIdentity(
            message.getName(),
            message.getIncarnation(),
            message.getRegion(),
            message.getDataCentre(),
            message.getCallersAddress(),
            message.getPeersAddress());
    return new Heartbeat(
        sender,
        message.getTakesCallers(),
        message.getAcceptsForMillis(),
        message.getPartitionedFromServers(),
        message.getConfigVersion(),
        decodeLists(message),
        demand,
        admitted,
        inFlight,
        limits,
        crashes);
  }
}

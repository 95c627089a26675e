package org.bambooarch.gateway.request;

import io.netty.channel.EventLoop;
import java.util.random.RandomGenerator;
import org.bambooarch.gateway.control.ArrivalEstimate;
import org.bambooarch.gateway.control.ConfigurationCheck;
import org.bambooarch.gateway.control.ControlState;
import org.bambooarch.gateway.control.RelaySelector;
import org.bambooarch.gateway.observability.GatewayMetrics;
import org.bambooarch.gateway.observability.RequestEventLog;
import org.bambooarch.gateway.spi.RequestFormat;
import org.bambooarch.gateway.target.TargetHttpClient;

/**
 * Objects that all requests of an instance share. They are used on the event loop only.
 *
 * @param state configuration, servers and other state from which decisions about requests are made
 * @param relaySelector tells when requests must go through another instance
 * @param configurationCheck asks the store whether the configuration in force is the newest
 * @param targetClient HTTP client for the servers
 * @param requestFormat wire format of the headers of requests and responses
 * @param loop the only event loop of the instance
 * @param metrics counters and histograms of requests
 * @param requestLog rate-limited log lines about single requests
 * @param arrivals tells since when requests have been unread
 * @param random source of random numbers
 * @param responseBuffers memory for responses
 */
public record GatewayContext(
    ControlState state,
    RelaySelector relaySelector,
    ConfigurationCheck configurationCheck,
    TargetHttpClient targetClient,
    RequestFormat requestFormat,
    EventLoop loop,
    GatewayMetrics metrics,
    RequestEventLog requestLog,
    ArrivalEstimate arrivals,
    RandomGenerator random,
    ResponseBuffers responseBuffers) {}

package org.bambooarch.gateway.request;

import io.netty.channel.EventLoop;
import java.util.random.RandomGenerator;
import org.bambooarch.gateway.control.ControlState;
import org.bambooarch.gateway.observability.GatewayMetrics;
import org.bambooarch.gateway.observability.RequestEventLog;
import org.bambooarch.gateway.spi.RequestFormat;
import org.bambooarch.gateway.target.TargetHttpClient;

/**
 * What all requests of an instance share.
 *
 * @param state what decisions are made from
 * @param targetClient connections to servers
 * @param requestFormat names and formats on the wire
 * @param loop the one event loop
 * @param metrics counters
 * @param requestLog lines about single requests
 * @param random source of chance
 */
public record GatewayContext(
    ControlState state,
    TargetHttpClient targetClient,
    RequestFormat requestFormat,
    EventLoop loop,
    GatewayMetrics metrics,
    RequestEventLog requestLog,
    RandomGenerator random) {}

package org.bambooarch.core.config;

/**
 * A live instance that takes part in the replication of the configuration.
 *
 * @param instance unique name of the instance
 * @param dataCentre name of its data centre
 */
public record ReplicationMember(String instance, String dataCentre) {}

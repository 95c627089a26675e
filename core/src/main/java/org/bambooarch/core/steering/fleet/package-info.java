/**
 * What the instances of the fleet know of each other from heartbeats, and the limits that each
 * applies without asking the others.
 */
package org.bambooarch.core.steering.fleet;

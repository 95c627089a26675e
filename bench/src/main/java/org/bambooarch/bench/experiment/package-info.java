/**
 * Seeded open-loop simulations that compare the routing of the production decision library with
 * simple baselines. Servers, links and callers are fakes in simulated time.
 */
package org.bambooarch.bench.experiment;

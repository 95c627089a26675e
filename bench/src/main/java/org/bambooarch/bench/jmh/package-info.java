/** Microbenchmarks of the decision library: time and bytes allocated for each decision. */
package org.bambooarch.bench.jmh;

/** Microbenchmarks of the decision library: the time and the allocated bytes of each operation. */
package org.bambooarch.bench.jmh;

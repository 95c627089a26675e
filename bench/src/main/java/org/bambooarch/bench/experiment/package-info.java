/** Seeded open-loop experiments that drive the real decision library against small fakes. */
package org.bambooarch.bench.experiment;

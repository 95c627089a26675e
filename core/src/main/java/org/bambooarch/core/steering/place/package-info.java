/** The choice of a server for each request, and the refusal of requests for lack of capacity. */
package org.bambooarch.core.steering.place;

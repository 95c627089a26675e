/** Explains from the logs of instances what happened to a request, a server or a version. */
package org.bambooarch.cli.explain;

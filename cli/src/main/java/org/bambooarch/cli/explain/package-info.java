/** Reads the logs of instances and tells what became of a request, server or version. */
package org.bambooarch.cli.explain;

/** Decoding of the HTTP/1 responses that the product receives. */
package org.bambooarch.http;

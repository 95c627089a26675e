package org.bambooarch.core.request.run;

/** What a caller wants, however often it is sent. */
record RunRequest(String name, boolean isOrder, boolean crashes) {

  String expectedBody() {
    return "whole answer to " + name;
  }
}

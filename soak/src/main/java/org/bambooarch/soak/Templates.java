package org.bambooarch.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Texts in the platform's formats, with the place holders of {@link String#format}. */
final class Templates {

  private Templates() {}

  static String fill(String name, Object... values) {
    try (InputStream in = Templates.class.getResourceAsStream(name)) {
      String template = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      return String.format(Locale.ROOT, template, values);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}

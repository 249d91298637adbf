package org.clementineford.gateway.internal;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A complete answer, as a caller on a plain socket reads it. */
record RawAnswer(int status, Map<String, String> headers, String body) {
  private static final int HEXADECIMAL = 16;

  /**
   * Reads an answer whose end its length or its last chunk shows.
   *
   * @throws EOFException if the connection ends before the answer
   */
  static RawAnswer read(InputStream input) throws IOException {
    String[] statusLine = line(input).split(" ");
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String header = line(input); !header.isEmpty(); header = line(input)) {
      int colon = header.indexOf(':');
      headers.put(header.substring(0, colon), header.substring(colon + 1).strip());
    }
    String body =
        headers.containsKey("transfer-encoding")
            ? chunks(input)
            : bytes(input, Integer.parseInt(headers.get("content-length")));
    return new RawAnswer(Integer.parseInt(statusLine[1]), headers, body);
  }

  private static String chunks(InputStream input) throws IOException {
    StringBuilder body = new StringBuilder();
    int length = Integer.parseInt(line(input), HEXADECIMAL);
    while (length > 0) {
      body.append(bytes(input, length));
      line(input);
      length = Integer.parseInt(line(input), HEXADECIMAL);
    }
    line(input);
    return body.toString();
  }

  private static String bytes(InputStream input, int length) throws IOException {
    byte[] bytes = input.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException(bytes.length + " of " + length + " bytes");
    }
    return new String(bytes, StandardCharsets.US_ASCII);
  }

  private static String line(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new EOFException("connection ended inside or before an answer");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.US_ASCII);
  }
}

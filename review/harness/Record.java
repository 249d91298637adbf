package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The file record.txt of a case: what was sent, answered and run, with seconds since the start. */
final class Record implements AutoCloseable {
  private final PrintWriter writer;
  private final long startedAt = System.nanoTime();

  Record(Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  synchronized void line(String text) {
    writer.println(
        String.format(Locale.ROOT, "%8.3f ", (System.nanoTime() - startedAt) / 1e9) + text);
  }

  @Override
  public void close() {
    writer.close();
  }
}

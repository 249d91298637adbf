package org.clementineford.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.List;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.wire.DirectoryObject;
import org.junit.jupiter.api.Test;

class ObjectCompressionTest {
  private static List<DirectoryObject> objects(int contentBytes) {
    DirectoryObject object = new DirectoryObject().setName("main").setRevision(7);
    return List.of(object.setContent(new byte[contentBytes]).setOperatorVersion(3));
  }

  // Guards against copies that lose fields on their way to a peer.
  @Test
  void returnsTheSameObjects() throws Exception {
    byte[] compressed = ObjectCompression.compress(objects(100_000));
    assertThat(compressed).hasSizeLessThan(10_000);
    assertThat(ObjectCompression.decompress(compressed)).isEqualTo(objects(100_000));
  }

  // Guards against a peer whose few bytes fill the memory of this VM.
  @Test
  void rejectsWhatBecomesTooLarge() {
    byte[] compressed = ObjectCompression.compress(objects(9 << 20));
    assertThatThrownBy(() -> ObjectCompression.decompress(compressed))
        .isInstanceOf(ClementinefordException.class);
  }

  // Guards against copies that were cut off or changed on their way.
  @Test
  void rejectsIncompleteBytes() {
    byte[] compressed = ObjectCompression.compress(objects(1_000));
    byte[] cut = Arrays.copyOf(compressed, compressed.length / 2);
    assertThatThrownBy(() -> ObjectCompression.decompress(cut))
        .isInstanceOf(ClementinefordException.class);
    assertThatThrownBy(() -> ObjectCompression.decompress(new byte[] {1, 2, 3}))
        .isInstanceOf(ClementinefordException.class);
  }
}

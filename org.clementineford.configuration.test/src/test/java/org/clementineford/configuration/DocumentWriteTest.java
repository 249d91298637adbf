package org.clementineford.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.clementineford.configuration.errors.DocumentException;
import org.clementineford.kernel.errors.ErrorKind;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DocumentWriteTest {
  private final MemoryStore store = new MemoryStore();

  private static DocumentEdit edit(String identity, String section, long base, String version) {
    return new DocumentEdit(
        identity,
        section,
        "team-" + section,
        base,
        "models: {m-" + section + ": {version: " + version + "}}");
  }

  private static void finish(MemoryStore store, DocumentWrite write) throws DocumentException {
    while (write.step() != DocumentWrite.Step.DONE) {
      advance(store, write);
    }
  }

  private static void advance(MemoryStore store, DocumentWrite write) throws DocumentException {
    if (write.step() == DocumentWrite.Step.READ) {
      write.onRead(store.read(), 0);
      return;
    }
    ErrorKind failure = store.write(write.expectedVersion(), write.value());
    if (failure == null) {
      write.onWritten();
    } else {
      write.onFailed(failure);
    }
  }

  @Nested
  class Outage {
    /** Guards against reporting an unknown outcome for a change that was never sent. */
    @Test
    void beforeTheWriteMeansNotMade() {
      DocumentWrite write = new DocumentWrite(edit("c1", "a", 0, "v1"), 0);
      write.onFailed(ErrorKind.UNAVAILABLE);
      assertThat(write.givenUp()).isEqualTo(ErrorKind.UNAVAILABLE);
    }

    /** Guards against reporting "not made" for a write that may have taken effect. */
    @Test
    void duringTheWriteMeansUnknownUntilItIsReadBack() throws Exception {
      DocumentWrite write = new DocumentWrite(edit("c1", "a", 0, "v1"), 0);
      write.onRead(store.read(), 0);
      write.onFailed(ErrorKind.OUTCOME_UNKNOWN);
      write.onFailed(ErrorKind.UNAVAILABLE);
      assertThat(write.givenUp()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    }

    /** Guards against applying a change twice after its reply was lost. */
    @Test
    void afterTheWriteFindsTheChangeByItsIdentity() throws Exception {
      DocumentWrite write = new DocumentWrite(edit("c1", "a", 0, "v1"), 0);
      write.onRead(store.read(), 0);
      store.write(write.expectedVersion(), write.value());
      write.onFailed(ErrorKind.OUTCOME_UNKNOWN);
      finish(store, write);
      assertThat(write.result().alreadyApplied()).isTrue();
      assertThat(store.document().revision()).isEqualTo(1);
    }

    /** Guards against losing the result when another operator wrote over the section meanwhile. */
    @Test
    void findsTheChangeAlsoUnderLaterOnes() throws Exception {
      DocumentWrite write = new DocumentWrite(edit("c1", "a", 0, "v1"), 0);
      write.onRead(store.read(), 0);
      store.write(write.expectedVersion(), write.value());
      write.onFailed(ErrorKind.OUTCOME_UNKNOWN);
      finish(store, new DocumentWrite(edit("c2", "a", 1, "v2"), 1));
      finish(store, write);
      assertThat(write.result().change().revision()).isEqualTo(1);
    }
  }

  @Group
  class Race {
    /** Guards against lost updates when operators edit different sections at the same time. */
    @Property(tries = 200, seed = "20261204")
    void ofFiveOperatorsOnDifferentSectionsAcceptsAll(@ForAll long seed) throws Exception {
      MemoryStore shared = new MemoryStore();
      List<DocumentWrite> writes = new ArrayList<>();
      for (int i = 0; i < 5; i++) {
        writes.add(new DocumentWrite(edit("c" + i, "s" + i, 0, "v1"), 0));
      }
      Random random = new Random(seed);
      while (!writes.stream().allMatch(write -> write.step() == DocumentWrite.Step.DONE)) {
        DocumentWrite next = writes.get(random.nextInt(writes.size()));
        if (next.step() != DocumentWrite.Step.DONE) {
          advance(shared, next);
        }
      }
      assertThat(shared.document().revision()).isEqualTo(5);
      assertThat(shared.document().presentSections()).hasSize(5);
    }

    /** Guards against a stale editor overwriting the same section. */
    @Property(tries = 200, seed = "20261204")
    void ofFiveOperatorsOnOneSectionAcceptsExactlyOne(@ForAll long seed) throws Exception {
      MemoryStore shared = new MemoryStore();
      List<DocumentWrite> open = new ArrayList<>();
      for (int i = 0; i < 5; i++) {
        open.add(new DocumentWrite(edit("c" + i, "a", 0, "v" + i), 0));
      }
      Random random = new Random(seed);
      List<ErrorKind> refusals = new ArrayList<>();
      while (!open.isEmpty()) {
        DocumentWrite next = open.get(random.nextInt(open.size()));
        try {
          advance(shared, next);
        } catch (DocumentException e) {
          refusals.add(e.kind());
          open.remove(next);
          assertThat(e).hasMessageContaining("now reads").hasMessageContaining("version: v");
        }
        open.removeIf(write -> write.step() == DocumentWrite.Step.DONE);
      }
      assertThat(refusals).hasSize(4).containsOnly(ErrorKind.CONFLICT);
      assertThat(shared.document().revision()).isEqualTo(1);
    }
  }

  @Nested
  class StaleRead {
    /** Guards against building a change on a document older than the one in force. */
    @Test
    void isReadAgain() throws Exception {
      finish(store, new DocumentWrite(edit("c1", "a", 0, "v1"), 0));
      finish(store, new DocumentWrite(edit("c2", "b", 0, "v1"), 0));
      DocumentWrite write = new DocumentWrite(edit("c3", "c", 0, "v1"), 2);
      write.onRead(store.staleRead(), 0);
      assertThat(write.step()).isEqualTo(DocumentWrite.Step.READ);
      finish(store, write);
      assertThat(store.document().revision()).isEqualTo(3);
    }

    /** Guards against a false conflict when the editor saw a newer section than the read shows. */
    @Test
    void isNoConflict() throws Exception {
      finish(store, new DocumentWrite(edit("c1", "a", 0, "v1"), 0));
      finish(store, new DocumentWrite(edit("c2", "a", 1, "v2"), 0));
      DocumentWrite write = new DocumentWrite(edit("c3", "a", 2, "v3"), 0);
      write.onRead(store.staleRead(), 0);
      finish(store, write);
      assertThat(store.document().revision()).isEqualTo(3);
    }
  }

  /** Guards against changes by a team that does not own the section. */
  @Test
  void refusesAnotherTeam() throws Exception {
    finish(store, new DocumentWrite(edit("c1", "a", 0, "v1"), 0));
    DocumentWrite write = new DocumentWrite(new DocumentEdit("c2", "a", "other", 1, ""), 0);
    assertThatThrownBy(() -> write.onRead(store.read(), 0))
        .isInstanceOf(DocumentException.class)
        .hasMessageContaining("belongs to team \"team-a\"")
        .extracting("kind")
        .isEqualTo(ErrorKind.NOT_OWNER);
  }

  /** Guards against a rollback that does not know the replaced version. */
  @Test
  void recordsReplacedVersions() throws Exception {
    finish(store, new DocumentWrite(edit("c1", "a", 0, "v1"), 0));
    DocumentWrite write = new DocumentWrite(edit("c2", "a", 1, "v2"), 0);
    finish(store, write);
    assertThat(write.result().change().replacedVersions()).containsEntry("m-a", "v1");
    assertThat(Optional.of(store.document()).get().findChange("c2")).isPresent();
  }
}

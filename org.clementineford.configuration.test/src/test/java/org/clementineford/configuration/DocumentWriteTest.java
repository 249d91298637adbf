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
  private final InMemoryObjectStore store = new InMemoryObjectStore();

  private static DocumentEdit edit(String identity, String section, long base, String version) {
    return new DocumentEdit(
        identity,
        section,
        "team-" + section,
        base,
        "models: {m-" + section + ": {version: " + version + "}}");
  }

  private static void runToEnd(InMemoryObjectStore store, DocumentWrite write)
      throws DocumentException {
    while (write.step() != DocumentWrite.Step.DONE) {
      advance(store, write);
    }
  }

  private static void advance(InMemoryObjectStore store, DocumentWrite write)
      throws DocumentException {
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
    /** Guards against reporting an unknown outcome for a change that was not sent. */
    @Test
    void beforeWriteIsReportedAsUnavailable() {
      DocumentWrite write = new DocumentWrite(edit("c1", "a", 0, "v1"), 0);
      write.onFailed(ErrorKind.UNAVAILABLE);
      assertThat(write.failureIfAbandoned()).isEqualTo(ErrorKind.UNAVAILABLE);
    }

    /** Guards against reporting that a write failed although it may have taken effect. */
    @Test
    void duringWriteIsReportedAsOutcomeUnknown() throws Exception {
      DocumentWrite write = new DocumentWrite(edit("c1", "a", 0, "v1"), 0);
      write.onRead(store.read(), 0);
      write.onFailed(ErrorKind.OUTCOME_UNKNOWN);
      write.onFailed(ErrorKind.UNAVAILABLE);
      assertThat(write.failureIfAbandoned()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    }

    /** Guards against applying a change twice after its reply was lost. */
    @Test
    void afterWriteIsResolvedByChangeIdentifier() throws Exception {
      DocumentWrite write = new DocumentWrite(edit("c1", "a", 0, "v1"), 0);
      write.onRead(store.read(), 0);
      store.write(write.expectedVersion(), write.value());
      write.onFailed(ErrorKind.OUTCOME_UNKNOWN);
      runToEnd(store, write);
      assertThat(write.result().alreadyApplied()).isTrue();
      assertThat(store.document().revision()).isEqualTo(1);
    }

    /** Guards against losing the result if another operator edits the section in the meantime. */
    @Test
    void afterWriteIsResolvedDespiteLaterChange() throws Exception {
      DocumentWrite write = new DocumentWrite(edit("c1", "a", 0, "v1"), 0);
      write.onRead(store.read(), 0);
      store.write(write.expectedVersion(), write.value());
      write.onFailed(ErrorKind.OUTCOME_UNKNOWN);
      runToEnd(store, new DocumentWrite(edit("c2", "a", 1, "v2"), 1));
      runToEnd(store, write);
      assertThat(write.result().change().revision()).isEqualTo(1);
    }
  }

  @Group
  class Race {
    /** Guards against lost updates when operators edit different sections at the same time. */
    @Property(tries = 200, seed = "20261204")
    void ofEditsToDifferentSectionsAcceptsAll(@ForAll long seed) throws Exception {
      InMemoryObjectStore shared = new InMemoryObjectStore();
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

    /** Guards against overwriting a section with an edit that is based on an older revision. */
    @Property(tries = 200, seed = "20261204")
    void ofEditsToSameSectionAcceptsExactlyOne(@ForAll long seed) throws Exception {
      InMemoryObjectStore shared = new InMemoryObjectStore();
      List<DocumentWrite> pending = new ArrayList<>();
      for (int i = 0; i < 5; i++) {
        pending.add(new DocumentWrite(edit("c" + i, "a", 0, "v" + i), 0));
      }
      Random random = new Random(seed);
      List<ErrorKind> refusals = new ArrayList<>();
      while (!pending.isEmpty()) {
        DocumentWrite next = pending.get(random.nextInt(pending.size()));
        try {
          advance(shared, next);
        } catch (DocumentException e) {
          refusals.add(e.kind());
          pending.remove(next);
          assertThat(e).hasMessageContaining("now reads").hasMessageContaining("version: v");
        }
        pending.removeIf(write -> write.step() == DocumentWrite.Step.DONE);
      }
      assertThat(refusals).hasSize(4).containsOnly(ErrorKind.CONFLICT);
      assertThat(shared.document().revision()).isEqualTo(1);
    }
  }

  @Nested
  class StaleRead {
    /** Guards against applying an edit to a document older than the one in force. */
    @Test
    void isRepeated() throws Exception {
      runToEnd(store, new DocumentWrite(edit("c1", "a", 0, "v1"), 0));
      runToEnd(store, new DocumentWrite(edit("c2", "b", 0, "v1"), 0));
      DocumentWrite write = new DocumentWrite(edit("c3", "c", 0, "v1"), 2);
      write.onRead(store.staleRead(), 0);
      assertThat(write.step()).isEqualTo(DocumentWrite.Step.READ);
      runToEnd(store, write);
      assertThat(store.document().revision()).isEqualTo(3);
    }

    /**
     * Guards against a false conflict if the edit is based on a newer section than a stale read.
     */
    @Test
    void isNotReportedAsConflict() throws Exception {
      runToEnd(store, new DocumentWrite(edit("c1", "a", 0, "v1"), 0));
      runToEnd(store, new DocumentWrite(edit("c2", "a", 1, "v2"), 0));
      DocumentWrite write = new DocumentWrite(edit("c3", "a", 2, "v3"), 0);
      write.onRead(store.staleRead(), 0);
      runToEnd(store, write);
      assertThat(store.document().revision()).isEqualTo(3);
    }
  }

  /** Guards against edits by a team that does not own the section. */
  @Test
  void refusesEditByAnotherTeam() throws Exception {
    runToEnd(store, new DocumentWrite(edit("c1", "a", 0, "v1"), 0));
    DocumentWrite write = new DocumentWrite(new DocumentEdit("c2", "a", "other", 1, ""), 0);
    assertThatThrownBy(() -> write.onRead(store.read(), 0))
        .isInstanceOf(DocumentException.class)
        .hasMessageContaining("belongs to team \"team-a\"")
        .extracting("kind")
        .isEqualTo(ErrorKind.NOT_OWNER);
  }

  /** Guards against changes without the replaced version, which a rollback needs. */
  @Test
  void recordsReplacedVersions() throws Exception {
    runToEnd(store, new DocumentWrite(edit("c1", "a", 0, "v1"), 0));
    DocumentWrite write = new DocumentWrite(edit("c2", "a", 1, "v2"), 0);
    runToEnd(store, write);
    assertThat(write.result().change().replacedVersions()).containsEntry("m-a", "v1");
    assertThat(Optional.of(store.document()).get().findChange("c2")).isPresent();
  }
}

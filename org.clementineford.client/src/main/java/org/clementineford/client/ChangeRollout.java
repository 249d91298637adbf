package org.clementineford.client;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.clementineford.configuration.AppliedChange;
import org.clementineford.configuration.Document;
import org.clementineford.configuration.DocumentSection;
import org.clementineford.configuration.DocumentValidator;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;

/** Pauses, resumes or rolls back the rollout of a model. */
public final class ChangeRollout {
  private final EntryConnection connection;
  private final Action action;
  private final String model;
  private String team = "";

  /** Change to a rollout. */
  public enum Action {
    /** Starts no further transfers or activations. */
    PAUSE {
      @Override
      void edit(EditSection edit, Document document, String model) {
        edit.setValue("models." + model + ".paused", "true");
      }
    },
    /** Continues a paused rollout. */
    RESUME {
      @Override
      void edit(EditSection edit, Document document, String model) {
        edit.setValue("models." + model + ".paused", "false");
      }
    },
    /** Restores the version that the latest version change replaced. */
    ROLLBACK {
      @Override
      void edit(EditSection edit, Document document, String model) throws ClementinefordException {
        List<AppliedChange> newestFirst = new ArrayList<>(document.changes());
        Collections.reverse(newestFirst);
        for (AppliedChange change : newestFirst) {
          String version = change.replacedVersions().get(model);
          if (version != null) {
            edit.setValue("models." + model + ".version", "\"" + version + "\"");
            return;
          }
        }
        throw new ClementinefordException(
            ErrorKind.NOT_FOUND,
            "no earlier version of model \""
                + model
                + "\" is recorded; set one with document edit");
      }
    };

    abstract void edit(EditSection edit, Document document, String model)
        throws ClementinefordException;
  }

  /**
   * Creates the command.
   *
   * @param connection connection to entry VMs
   * @param action change to make
   * @param model name of the model
   */
  public ChangeRollout(EntryConnection connection, Action action, String model) {
    this.connection = connection;
    this.action = action;
    this.model = model;
  }

  /**
   * Sets the team that makes the change.
   *
   * @param name name of the team that owns the section with the model
   * @return this command
   */
  public ChangeRollout setTeam(String name) {
    this.team = name;
    return this;
  }

  /**
   * Makes the change.
   *
   * @return the result
   * @throws ClementinefordException kind {@code NOT_FOUND} if no section defines the model or no
   *     earlier version is recorded; otherwise as {@link ApplySection#call}
   */
  public ApplyResult call() throws ClementinefordException {
    Document document = new ReadDocument(connection).setSource(DocumentSource.STORED).call();
    for (DocumentSection section : document.presentSections()) {
      Document singleSection =
          new Document(document.revision(), java.util.Map.of("s", section), null);
      if (DocumentValidator.validateAndMerge(singleSection).models().containsKey(model)) {
        EditSection edit = new EditSection(connection).setSection(section.name()).setTeam(team);
        action.edit(edit, document, model);
        return edit.call();
      }
    }
    throw new ClementinefordException(
        ErrorKind.NOT_FOUND, "no section defines model \"" + model + "\"; check the name");
  }
}

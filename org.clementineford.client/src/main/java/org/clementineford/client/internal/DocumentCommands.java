package org.clementineford.client.internal;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.UUID;
import org.clementineford.client.ApplyResult;
import org.clementineford.client.ApplySection;
import org.clementineford.client.DocumentSource;
import org.clementineford.client.EditSection;
import org.clementineford.client.EntryConnection;
import org.clementineford.client.ReadDocument;
import org.clementineford.configuration.AppliedChange;
import org.clementineford.configuration.Document;
import org.clementineford.configuration.DocumentSection;
import org.clementineford.kernel.errors.ClementinefordException;
import org.clementineford.kernel.errors.ErrorKind;
import org.clementineford.kernel.errors.SettingException;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.SettingParser;
import org.clementineford.kernel.settings.Settings;

/** The {@code document} commands. */
final class DocumentCommands {
  static final Setting<String> TEAM =
      new Setting<>("team", "Team that makes the change.", null, SettingParser.text());
  private static final Setting<String> SECTION =
      new Setting<>("section", "Name of the section.", null, SettingParser.text());
  private static final Setting<String> ANY_SECTION =
      new Setting<>(
          "section", "Name of the section; all if empty.", "", SettingParser.optionalText());
  private static final Setting<Boolean> STORED =
      new Setting<>(
          "stored",
          "true reads the platform instead of what is in force on the entry VM.",
          "false",
          SettingParser.trueOrFalse());
  private static final Setting<String> FILE =
      new Setting<>("file", "File with the YAML text of the section.", null, SettingParser.text());
  private static final Setting<String> SET =
      new Setting<>(
          "set",
          "PATH=VALUE, for example models.assistant.version=v2.",
          null,
          SettingParser.text());
  private static final Setting<String> CHANGE =
      new Setting<>(
          "change",
          "Identity of the change; repeat it after an unknown outcome. Random if empty.",
          "",
          SettingParser.optionalText());
  private static final Setting<Long> BASE =
      new Setting<>(
          "base",
          "Revision of the section that the file is based on; -1 takes the stored one.",
          "-1",
          SettingParser.wholeNumber(-1, Long.MAX_VALUE));
  private static final Setting<Boolean> REMOVE =
      new Setting<>("remove", "true removes the section.", "false", SettingParser.trueOrFalse());
  private static final Setting<String> OPTIONAL_FILE =
      new Setting<>(
          "file", "File with the YAML text of the section.", "", SettingParser.optionalText());

  private DocumentCommands() {}

  static List<Command> all() {
    return List.of(
        Command.onEntryVms(
            "document get",
            "Prints the document in force, or one section.",
            List.of(ANY_SECTION, STORED),
            List.of(),
            DocumentCommands::get),
        Command.onEntryVms(
            "document edit",
            "Sets one value in a section. Comments in the section are lost.",
            List.of(SECTION, TEAM, SET),
            List.of(),
            DocumentCommands::edit),
        Command.onEntryVms(
            "document diff",
            "Shows the lines in which a file differs from the section in force.",
            List.of(SECTION, FILE, STORED),
            List.of(),
            DocumentCommands::diff),
        Command.onEntryVms(
            "document apply",
            "Replaces a section by a file, or removes it.",
            List.of(SECTION, TEAM, OPTIONAL_FILE, CHANGE, BASE, REMOVE),
            List.of(),
            DocumentCommands::apply),
        Command.onEntryVms(
            "document history",
            "Lists the latest changes, newest last.",
            List.of(ANY_SECTION),
            List.of(),
            DocumentCommands::history));
  }

  private static String get(EntryConnection connection, Settings settings)
      throws ClementinefordException {
    Document document = read(connection, settings.get(STORED));
    if (!settings.get(ANY_SECTION).isEmpty()) {
      return section(document, settings.get(ANY_SECTION)).text().stripTrailing();
    }
    StringBuilder text = new StringBuilder("# revision " + document.revision());
    for (DocumentSection section : document.presentSections()) {
      text.append("\n\n# section ")
          .append(section.name())
          .append(", team ")
          .append(section.owner())
          .append(", revision ")
          .append(section.revision())
          .append('\n')
          .append(section.text().stripTrailing());
    }
    return text.toString();
  }

  private static Document read(EntryConnection connection, boolean stored)
      throws ClementinefordException {
    return new ReadDocument(connection)
        .setSource(stored ? DocumentSource.STORED : DocumentSource.IN_FORCE)
        .call();
  }

  private static DocumentSection section(Document document, String name)
      throws ClementinefordException {
    DocumentSection section = document.sections().get(name);
    if (section == null || section.isRemoved()) {
      throw new ClementinefordException(
          ErrorKind.NOT_FOUND,
          "section \""
              + name
              + "\" does not exist at revision "
              + document.revision()
              + "; document get lists the sections");
    }
    return section;
  }

  private static String edit(EntryConnection connection, Settings settings)
      throws ClementinefordException {
    String assignment = settings.get(SET);
    int equals = assignment.indexOf('=');
    if (equals < 1) {
      throw new SettingException(
          "setting --set has the value \"" + assignment + "\": give PATH=VALUE");
    }
    return describe(
        new EditSection(connection)
            .setSection(settings.get(SECTION))
            .setTeam(settings.get(TEAM))
            .setValue(assignment.substring(0, equals), assignment.substring(equals + 1))
            .call());
  }

  private static String diff(EntryConnection connection, Settings settings)
      throws ClementinefordException {
    DocumentSection section =
        section(read(connection, settings.get(STORED)), settings.get(SECTION));
    return LineDiff.of(section.text(), readFile(settings.get(FILE)));
  }

  private static String apply(EntryConnection connection, Settings settings)
      throws ClementinefordException {
    boolean remove = settings.get(REMOVE);
    if (remove != settings.get(OPTIONAL_FILE).isEmpty()) {
      throw new SettingException("give either --file FILE or --remove true");
    }
    String change = settings.get(CHANGE);
    if (change.isEmpty()) {
      change = UUID.randomUUID().toString();
    }
    ApplySection apply =
        new ApplySection(connection)
            .setSection(settings.get(SECTION))
            .setTeam(settings.get(TEAM))
            .setText(remove ? null : readFile(settings.get(OPTIONAL_FILE)))
            .setBaseRevision(settings.get(BASE))
            .setChangeIdentity(change);
    try {
      return describe(apply.call());
    } catch (ClementinefordException e) {
      if (e.kind() == ErrorKind.OUTCOME_UNKNOWN) {
        throw new ClementinefordException(
            e.kind(),
            e.getMessage()
                + ". The outcome is unknown; run the command again with --change "
                + change,
            e);
      }
      throw e;
    }
  }

  static String describe(ApplyResult result) {
    StringBuilder text = new StringBuilder();
    result.warnings().forEach(warning -> text.append("warning: ").append(warning).append('\n'));
    return text.append(result.outcome().text())
        .append(" as revision ")
        .append(result.revision())
        .append(", change ")
        .append(result.changeIdentity())
        .toString();
  }

  private static String history(EntryConnection connection, Settings settings)
      throws ClementinefordException {
    StringBuilder text =
        new StringBuilder("revision  time                      team  section  change");
    String wanted = settings.get(ANY_SECTION);
    for (AppliedChange change : read(connection, true).changes()) {
      if (wanted.isEmpty() || wanted.equals(change.section())) {
        text.append(
            String.format(
                "%n%8d  %s  %s  %s  %s",
                change.revision(),
                Instant.ofEpochMilli(change.epochMs()),
                change.team(),
                change.section(),
                change.identity()));
      }
    }
    return text.toString();
  }

  private static String readFile(String file) throws ClementinefordException {
    try {
      return Files.readString(Path.of(file), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new ClementinefordException(
          ErrorKind.LOCAL_RESOURCE, "cannot read file " + file + " as UTF-8; check the path", e);
    }
  }
}

package org.clementineford.node.internal;

import org.clementineford.configuration.DocumentSection;
import org.clementineford.wire.SectionText;

/** Converts sections of the document to and from their wire form. */
final class WireSections {
  private WireSections() {}

  static SectionText toWire(DocumentSection section) {
    SectionText text =
        new SectionText()
            .setName(section.name())
            .setOwner(section.owner())
            .setRevision(section.revision())
            .setChangeIdentity(section.changeIdentity());
    return section.isRemoved() ? text : text.setText(section.text());
  }

  static DocumentSection fromWire(SectionText section) {
    return new DocumentSection(
        section.getName(),
        section.getOwner(),
        section.getRevision(),
        section.getChangeIdentity(),
        section.getText());
  }
}

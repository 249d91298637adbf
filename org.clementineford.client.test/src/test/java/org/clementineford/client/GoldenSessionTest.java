package org.clementineford.client;

import java.nio.file.Path;
import org.clementineford.standins.StandInFaultKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class GoldenSessionTest {
  @TempDir Path files;

  /**
   * Guards against lost updates and against messages that leave operators unsure of the outcome.
   */
  @Test
  void raceOfOperators() throws Exception {
    try (OperatorSession session = new OperatorSession(files)) {
      session.startEntry("entry-1");
      session.writeFile("first.yaml", "models: {assistant: {version: v1}}\n");
      session.writeFile("second.yaml", "models: {assistant: {version: v2}}\n");
      session.writeFile("accounts.yaml", "policies: {activationShare: 0.5}\n");
      session.run("document apply --section models --team weights --file first.yaml --change c-1");
      session.note("two operators start from revision 1 of the section");
      session.run(
          "document apply --section models --team weights --file second.yaml --change c-2"
              + " --base 1");
      session.run(
          "document apply --section models --team weights --file first.yaml --change c-3"
              + " --base 1");
      session.note("another team edits its own section at the same time");
      session.run(
          "document apply --section policies --team operations --file accounts.yaml --change c-4"
              + " --base 0");
      session.note("the first operator repeats a change that was accepted");
      session.run(
          "document apply --section models --team weights --file second.yaml --change c-2"
              + " --base 1");
      session.run(
          "document apply --section policies --team weights --file accounts.yaml --change c-5");
      session.run("document get");
      session.assertMatches("race.txt");
    }
  }

  /** Guards against reporting a wrong outcome during an outage of the platform. */
  @Test
  void outage() throws Exception {
    try (OperatorSession session = new OperatorSession(files)) {
      session.startEntry("entry-1");
      session.startEntry("entry-2");
      session.advanceOneSecond();
      session.writeFile("models.yaml", "models: {assistant: {version: v1}}\n");
      session.writeFile("paused.yaml", "models: {assistant: {version: v1, paused: true}}\n");
      session.run("document apply --section models --team weights --file models.yaml --change c-1");
      session.note("the platform accepts a change and loses the reply");
      session.platform.faults().set(StandInFaultKind.LOST_REPLY);
      session.run(
          "document apply --section models --team weights --file paused.yaml --change c-2"
              + " --base 1");
      session.platform.faults().clear(StandInFaultKind.LOST_REPLY);
      session.note("the platform is down");
      session.platform.faults().set(StandInFaultKind.OUTAGE);
      session.run(
          "document apply --section models --team weights --file models.yaml --change c-3"
              + " --base 2");
      session.run("document get --section models");
      session.note("the first entry VM stops during the outage");
      session.stopFirstEntry();
      session.run("document get");
      session.note("the platform is back");
      session.platform.faults().clear(StandInFaultKind.OUTAGE);
      session.run(
          "document apply --section models --team weights --file models.yaml --change c-3"
              + " --base 2");
      session.run("document get --section models");
      session.assertMatches("outage.txt");
    }
  }
}

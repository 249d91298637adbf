package org.clementineford.client.internal;

import java.util.ArrayList;
import java.util.List;

/**
 * Line difference of two texts, computed from a longest common subsequence.
 *
 * <p>Source: R. Wagner, M. Fischer, "The String-to-String Correction Problem", Journal of the ACM
 * 21(1), 1974.
 */
final class LineDiff {
  private LineDiff() {}

  /**
   * Compares two texts.
   *
   * @param before first text
   * @param after second text
   * @return lines with the prefix {@code "- "}, {@code "+ "} or two spaces; empty if the texts are
   *     equal
   */
  static String of(String before, String after) {
    List<String> old = before.lines().toList();
    List<String> now = after.lines().toList();
    if (old.equals(now)) {
      return "";
    }
    int[][] common = new int[old.size() + 1][now.size() + 1];
    for (int i = old.size() - 1; i >= 0; i--) {
      for (int j = now.size() - 1; j >= 0; j--) {
        common[i][j] =
            old.get(i).equals(now.get(j))
                ? common[i + 1][j + 1] + 1
                : Math.max(common[i + 1][j], common[i][j + 1]);
      }
    }
    List<String> lines = new ArrayList<>();
    int i = 0;
    int j = 0;
    while (i < old.size() || j < now.size()) {
      if (i < old.size() && j < now.size() && old.get(i).equals(now.get(j))) {
        lines.add("  " + old.get(i));
        i++;
        j++;
      } else if (j == now.size() || (i < old.size() && common[i + 1][j] >= common[i][j + 1])) {
        lines.add("- " + old.get(i++));
      } else {
        lines.add("+ " + now.get(j++));
      }
    }
    return String.join("\n", lines);
  }
}

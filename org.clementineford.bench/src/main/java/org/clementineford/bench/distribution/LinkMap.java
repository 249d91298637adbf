package org.clementineford.bench.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** All links of the measured fleet, and the places that they connect. */
final class LinkMap {
  private final Map<String, Link> regionLinks = new TreeMap<>();
  private final Map<Integer, Place> placesByPort = new ConcurrentHashMap<>();
  private final Set<String> stalled = ConcurrentHashMap.newKeySet();

  LinkMap(List<String> regions, double regionBytesPerSecond) {
    for (String from : regions) {
      for (String to : regions) {
        if (!from.equals(to)) {
          regionLinks.put(from + "-" + to, new Link(regionBytesPerSecond));
        }
      }
    }
  }

  void bind(int port, Place place) {
    placesByPort.put(port, place);
  }

  Place at(int port) {
    return placesByPort.get(port);
  }

  /** Stops everything that two places send to each other. */
  void stall(Place a, Place b) {
    stalled.add(a.name() + "/" + b.name());
    stalled.add(b.name() + "/" + a.name());
  }

  boolean isStalled(Place from, Place to) {
    return stalled.contains(from.name() + "/" + to.name());
  }

  List<Link> path(Place from, Place to) {
    List<Link> path = new ArrayList<>();
    path.add(from.up());
    if (!from.region().equals(to.region())) {
      path.add(regionLinks.get(from.region() + "-" + to.region()));
    }
    path.add(to.down());
    return path;
  }

  Map<String, Long> bytesBetweenRegions() {
    Map<String, Long> bytes = new TreeMap<>();
    regionLinks.forEach((name, link) -> bytes.put(name, link.bytes()));
    return bytes;
  }

  /**
   * A VM or the origin.
   *
   * @param name its name
   * @param region its region
   * @param up its link for sending
   * @param down its link for receiving
   */
  record Place(String name, String region, Link up, Link down) {}
}

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
  private final Map<Integer, Place> listeners = new ConcurrentHashMap<>();
  private final Map<Long, Place> connectors = new ConcurrentHashMap<>();
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

  void listens(int port, Place place) {
    listeners.put(port, place);
  }

  /** Notes who opened a connection; its own port alone is not unique to it. */
  void connected(int port, int listenerPort, Place place) {
    connectors.put(pair(port, listenerPort), place);
  }

  /** Returns the place at the other end of a connection, or null if it is not known yet. */
  Place other(boolean accepted, int localPort, int remotePort) {
    return accepted ? connectors.get(pair(remotePort, localPort)) : listeners.get(remotePort);
  }

  private static long pair(int port, int listenerPort) {
    return (long) port << Integer.SIZE | listenerPort;
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

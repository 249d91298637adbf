package org.clementineford.endpoint.internal.weights;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.clementineford.kernel.MessageCatalog;
import org.clementineford.transport.IncomingExchange;
import org.clementineford.transport.Payloads;
import org.clementineford.weights.Manifest;
import org.clementineford.weights.UploadSlots;
import org.clementineford.wire.ChunkFetch;
import org.clementineford.wire.ChunkRefusal;
import org.clementineford.wire.ChunkRefusalKind;
import org.clementineford.wire.ManifestBytes;
import org.clementineford.wire.ManifestFetch;
import org.clementineford.wire.Payload;

/** Handles requests of peers for manifests and chunks. */
final class UploadHandler {
  private static final MessageCatalog MESSAGES = MessageCatalog.of(UploadHandler.class);

  private static final long BUSY_RETRY_MS = 20;
  private static final long ABSENT_RETRY_MS = TimeUnit.SECONDS.toMillis(1);

  private final TransferServices services;
  private final UploadSlots regionSlots;
  private final UploadSlots exportSlots;
  private final Map<String, Manifest> manifests = new ConcurrentHashMap<>();

  UploadHandler(TransferServices services) {
    this.services = services;
    this.regionSlots = new UploadSlots(services.limits().uploadSlots());
    this.exportSlots = new UploadSlots(services.limits().exportSlots());
  }

  void offer(Manifest manifest) {
    manifests.put(manifest.address(), manifest);
  }

  void withdraw(String manifestAddress) {
    manifests.remove(manifestAddress);
  }

  void sendManifest(Payload opening, IncomingExchange exchange) {
    ManifestFetch fetch = opening.getManifestFetch();
    Optional<Manifest> found =
        manifests.values().stream()
            .filter(manifest -> manifest.model().equals(fetch.getModel()))
            .filter(manifest -> manifest.version().equals(fetch.getVersion()))
            .findFirst();
    if (found.isEmpty()) {
      exchange.finish(Payloads.failure("no-manifest", MESSAGES.format("no-manifest")));
      return;
    }
    ManifestBytes reply = new ManifestBytes();
    reply.setManifest(found.get().toJson());
    exchange.finish(Payload.manifestBytes(reply));
  }

  void sendChunk(Payload opening, IncomingExchange exchange) {
    ChunkFetch fetch = opening.getChunkFetch();
    Manifest manifest = manifests.get(fetch.getManifestDigest());
    int chunk = fetch.getChunk();
    boolean sameRegion = fetch.getSender().getRegion().equals(services.context().self().region());
    UploadSlots slots = sameRegion ? regionSlots : exportSlots;
    if (manifest == null) {
      refuse(exchange, chunk, ChunkRefusalKind.OTHER_MANIFEST, ABSENT_RETRY_MS);
    } else if (chunk < 0
        || chunk >= manifest.chunks()
        || !services.store().contains(manifest.chunkDigests().get(chunk))) {
      refuse(exchange, chunk, ChunkRefusalKind.ABSENT, ABSENT_RETRY_MS);
    } else if (!slots.tryAcquire()) {
      refuse(exchange, chunk, ChunkRefusalKind.BUSY, BUSY_RETRY_MS);
    } else {
      services.metrics().sent(manifest.chunkLength(chunk));
      new ChunkUpload(
              services.store(),
              fetch.getManifestDigest(),
              chunk,
              manifest.chunkDigests().get(chunk),
              manifest.chunkLength(chunk),
              exchange,
              slots::release)
          .start();
    }
  }

  private static void refuse(
      IncomingExchange exchange, int chunk, ChunkRefusalKind kind, long retryAfterMs) {
    exchange.finish(Payload.chunkRefusal(new ChunkRefusal(chunk, kind, retryAfterMs)));
  }
}

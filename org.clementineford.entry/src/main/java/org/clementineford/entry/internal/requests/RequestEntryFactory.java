package org.clementineford.entry.internal.requests;

import java.util.List;
import org.clementineford.kernel.VmRole;
import org.clementineford.kernel.settings.Setting;
import org.clementineford.kernel.settings.Settings;
import org.clementineford.node.NodeComponent;
import org.clementineford.node.NodeComponentFactory;
import org.clementineford.node.NodeContext;

/** Creates the HTTP interface for callers. */
public final class RequestEntryFactory implements NodeComponentFactory {
  private static final int ORDER = 20;

  @Override
  public String name() {
    return "request-entry";
  }

  @Override
  public VmRole role() {
    return VmRole.ENTRY;
  }

  @Override
  public int order() {
    return ORDER;
  }

  @Override
  public List<Setting<?>> settings() {
    return EntrySettings.declared();
  }

  @Override
  public NodeComponent create(NodeContext context, Settings settings) {
    return new RequestEntry(
        context, EntrySettings.from(settings), PeerExchanges.of(context.network()));
  }
}

package io.parsleycleat.core.process.common;

import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.settings.SettingsNode;
import java.util.Objects;

/** The name and place of a process's VM. */
public record VmSettings(String name, String dataCentre, String region) {
    public VmSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(region, "region");
    }

    /** Reads the settings from their object. */
    public static VmSettings read(SettingsNode node) {
        VmSettings settings = new VmSettings(node.text("name"), node.text("dataCentre"), node.text("region"));
        node.end();
        return settings;
    }

    /** Returns the identity of a process that starts now. */
    public ProcessIdentity identity(ProcessRole role, String peerAddress, long wallMillis) {
        return new ProcessIdentity(
                name, role, dataCentre, region, peerAddress, ProcessIdentity.newIncarnation(wallMillis));
    }
}

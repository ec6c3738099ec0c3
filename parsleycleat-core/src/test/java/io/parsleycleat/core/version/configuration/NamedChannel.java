package io.parsleycleat.core.version.configuration;

import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.platform.Vm;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.peer.Hello;

/** A connection that only says who is at its other end. */
record NamedChannel(Vm vm) implements PeerChannel {
    @Override
    public Hello hello() {
        return Hello.newBuilder()
                .setVmName(vm.name())
                .setDataCentre(vm.dataCentre())
                .build();
    }

    @Override
    public void send(Frame frame) {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean isWritable() {
        return true;
    }

    @Override
    public void onClose(Runnable action) {}
}

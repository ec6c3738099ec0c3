package io.parsleycleat.core.connection.run;

import static org.testng.Assert.assertEquals;

import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.wire.peer.Frame;
import io.parsleycleat.wire.peer.Hello;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public class ChannelRunsTest {
    private final List<String> lost = new ArrayList<>();
    private final ChannelRuns<String> runs = new ChannelRuns<>((run, channel) -> lost.add(run));

    @Test
    public void connectionKeepsOneActionHoweverManyRunsPassIt() {
        RecordedChannel channel = new RecordedChannel();
        for (int i = 0; i < 1_000; i++) {
            runs.add(channel, "ended");
            runs.remove(channel, "ended");
        }
        runs.add(channel, "open");
        assertEquals(channel.closeActions.size(), 1);
        channel.closeActions.get(0).run();
        assertEquals(lost, List.of("open"));
    }

    @Test
    public void runOnAConnectionThatIsLostAlreadyIsTold() {
        lost.clear();
        RecordedChannel channel = new RecordedChannel();
        channel.closed = true;
        runs.add(channel, "late");
        assertEquals(lost, List.of("late"));
    }

    /** A connection that keeps the actions for its loss. */
    private static final class RecordedChannel implements PeerChannel {
        private final List<Runnable> closeActions = new ArrayList<>();
        private boolean closed;

        @Override
        public Hello hello() {
            return Hello.getDefaultInstance();
        }

        @Override
        public void send(Frame frame) {}

        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public void onClose(Runnable action) {
            if (closed) {
                action.run();
            } else {
                closeActions.add(action);
            }
        }
    }
}

package io.parsleycleat.core.version.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.peer.PeerChannel;
import io.parsleycleat.core.connection.peer.PeerClient;
import io.parsleycleat.core.connection.platform.LogClient;
import io.parsleycleat.core.connection.platform.LogEntry;
import io.parsleycleat.core.connection.platform.LogPage;
import io.parsleycleat.core.process.identity.ProcessIdentity;
import io.parsleycleat.core.process.identity.ProcessRole;
import io.parsleycleat.core.process.membership.Membership;
import io.parsleycleat.core.version.configuration.keys.CutOffMonitor;
import io.parsleycleat.wire.configuration.AuditEntry;
import io.parsleycleat.wire.peer.Frame;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a process that stops reading the configuration stream because something fails at a record. */
public class LogTailerTest {
    private static final Duration BOUND = Duration.ofSeconds(15);
    private static final long LIMIT_MILLIS = 10_000;

    private VirtualScheduler time;
    private FakeLog log;
    private StateHolder holder;
    private CutOffMonitor monitor;
    private int failures;

    /** Reaches nobody. */
    private static final class NoPeers implements PeerClient {
        @Override
        public CompletableFuture<Frame> request(String peerAddress, Frame.Builder frame, Duration timeout) {
            return CompletableFuture.failedFuture(new IllegalStateException("nobody"));
        }

        @Override
        public void send(String peerAddress, Frame.Builder frame) {}

        @Override
        public CompletableFuture<PeerChannel> connect(String peerAddress) {
            return CompletableFuture.failedFuture(new IllegalStateException("nobody"));
        }
    }

    @BeforeMethod
    public void setUp() {
        time = new VirtualScheduler();
        log = new FakeLog(time);
        holder = new StateHolder();
        failures = 2;
    }

    private void failSometimes() {
        if (failures-- > 0) {
            throw new StackOverflowError("a failure of the test");
        }
    }

    private void startTailer(LogClient client, Runnable whenAtEnd) {
        Membership membership = new Membership(() -> CompletableFuture.completedFuture(List.of()), time);
        monitor = new CutOffMonitor(time, membership, "dc", BOUND);
        StoreParts parts = new StoreParts(
                new ProcessIdentity("vm", ProcessRole.ENTRY, "dc", "region", "vm", 1),
                client,
                new NoPeers(),
                membership,
                monitor,
                time,
                time);
        new LogTailer(parts, StoreSettings.DEFAULTS, holder, () -> true, page -> whenAtEnd.run(), () -> {}).wake();
    }

    private void append(String account) {
        log.append(List.of(
                Changes.record(Changes.account("c-" + account, account, 0, 10)).toByteString()));
    }

    private boolean knows(String account) {
        return holder.known().account(account).isPresent();
    }

    /** Guards against reading that ends when what follows a page fails. */
    @Test
    public void readingGoesOnWhenWhatFollowsAPageFails() {
        startTailer(log.client("vm"), this::failSometimes);
        time.advance(LIMIT_MILLIS);
        append("a");
        assertTrue(time.advanceUntil(() -> knows("a"), LIMIT_MILLIS));
    }

    /** Guards against reading that ends when a read throws instead of failing later. */
    @Test
    public void readingGoesOnWhenAReadThrows() {
        LogClient throwing = new LogClient() {
            private final LogClient reached = log.client("vm");

            @Override
            public CompletableFuture<Long> append(String stream, List<ByteString> values) {
                return reached.append(stream, values);
            }

            @Override
            public CompletableFuture<LogPage> read(String stream, long from, int limit, Duration wait) {
                failSometimes();
                return reached.read(stream, from, limit, wait);
            }
        };
        startTailer(throwing, () -> {});
        append("a");
        assertTrue(time.advanceUntil(() -> knows("a"), LIMIT_MILLIS));
    }

    /** Guards against records that cannot be understood and that hide the changes around them in the same read. */
    @Test
    public void changesAreFoldedWhateverStandsBetweenThem() {
        append("a");
        List.of("", "{\"a\":1}", "\u0001".repeat(300), "[".repeat(10_000)).forEach(odd -> {
            log.append(List.of(ByteString.copyFromUtf8(odd)));
            append("b" + odd.length());
        });
        startTailer(log.client("vm"), () -> {});
        assertTrue(time.advanceUntil(() -> knows("b10000"), LIMIT_MILLIS));
        assertTrue(knows("a") && knows("b0") && knows("b7") && knows("b300"));
    }

    /** Guards against a listener that fails and keeps a state from other listeners and from those who wait for it. */
    @Test
    public void listenerThatFailsKeepsNoStateFromOthers() {
        List<Long> told = new ArrayList<>();
        holder.onChange(view -> {
            if (view.account("a").isPresent()) {
                throw new IllegalStateException("a listener that fails");
            }
        });
        holder.onChange(view -> told.add(holder.state().version()));
        CompletableFuture<AuditEntry> waited = holder.await("c-a");
        startTailer(log.client("vm"), () -> {});
        append("a");
        time.advance(LIMIT_MILLIS);
        append("b");
        time.advance(LIMIT_MILLIS);
        assertFalse(waited.isCompletedExceptionally());
        assertTrue(waited.isDone());
        assertEquals(told, List.of(0L, 1L, 2L));
    }

    /** Guards against keys that are accepted while a withdrawal is in a part of the log that is not read yet. */
    @Test
    public void keysAreRefusedUntilABacklogIsRead() {
        HeldAnswers answers = new HeldAnswers();
        startTailer(answers, () -> {});
        time.advance(BOUND.toMillis() + 1);
        assertTrue(monitor.isIsolated());
        answers.complete(0, entry(0, "a"), 3);
        assertTrue(monitor.isIsolated(), "after a part of the backlog");
        time.advance(1);
        answers.complete(1, entry(1, "b"), 3);
        assertTrue(monitor.isIsolated(), "after a part that was asked for just now");
        time.advance(1);
        answers.complete(2, entry(2, "c"), 3);
        assertFalse(monitor.isIsolated(), "after the whole backlog");
    }

    /** Guards against an answer that comes late and counts as news of the time at which it came. */
    @Test
    public void ageOfTheStateCountsFromTheQuestion() {
        HeldAnswers answers = new HeldAnswers();
        startTailer(answers, () -> {});
        time.advance(LIMIT_MILLIS);
        answers.complete(0, entry(0, "a"), 1);
        assertEquals(monitor.contactAge(), Duration.ofMillis(LIMIT_MILLIS));
    }

    private LogEntry entry(long offset, String account) {
        return new LogEntry(
                offset,
                time.wallMillis(),
                Changes.record(Changes.account("c-" + account, account, 0, 10)).toByteString());
    }

    /** A log whose answers to reads a test gives, one record each. */
    private final class HeldAnswers implements LogClient {
        private final List<CompletableFuture<LogPage>> reads = new ArrayList<>();

        void complete(int read, LogEntry entry, long endOffset) {
            reads.get(read).complete(new LogPage(0, endOffset, List.of(entry)));
        }

        @Override
        public CompletableFuture<Long> append(String stream, List<ByteString> values) {
            return CompletableFuture.failedFuture(new IllegalStateException("only reads are expected"));
        }

        @Override
        public CompletableFuture<LogPage> read(String stream, long from, int limit, Duration wait) {
            CompletableFuture<LogPage> answer = new CompletableFuture<>();
            reads.add(answer);
            return answer;
        }
    }
}

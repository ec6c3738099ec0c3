package io.parsleycleat.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.caller.CallerExchange;
import io.parsleycleat.core.connection.caller.CallerRequest;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.gateway.connection.ScriptedUpstream;
import io.parsleycleat.gateway.version.routes.RequestKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards requests at an upstream that falls silent for a while and goes on: whichever upstream answers first serves the
 * request, and one that works is given up only for an answer of another one.
 */
public class SilentUpstreamTest extends ForwardingFixture {
    private static final String STREAM_HEAD = "HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 30\r\n\r\n";
    private static final List<Map.Entry<String, String>> KEY = List.of(Map.entry("key", "key"));
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String LAST_EVENT = "id: 2\ndata: b\n\n";
    private static final String WHOLE_STREAM = "200 streamed id: 1;data: a;;id: 2;data: b;;";

    /** Answers after another upstream has done its part. */
    private static ScriptedUpstream.Script silentUntil(CountDownLatch moment, String before, String after) {
        return (request, connection) -> {
            ScriptedUpstream.write(connection, before);
            await(moment);
            ScriptedUpstream.write(connection, after);
            return true;
        };
    }

    /** Answers, and tells when the connection was closed or reused, which is when the answer was dealt with. */
    private static ScriptedUpstream.Script answerThenTell(CountDownLatch done, String answer, boolean keep) {
        return (request, connection) -> {
            ScriptedUpstream.write(connection, answer);
            if (!keep) {
                connection.shutdownOutput();
            }
            done.countDown();
            return keep;
        };
    }

    static void await(CountDownLatch moment) {
        try {
            moment.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a request to a first upstream, makes a second one known, and returns the answer. */
    private String answerOf(ScriptedUpstream.Script first, ScriptedUpstream.Script second) throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(first);
                ScriptedUpstream two = new ScriptedUpstream(second)) {
            addUpstream("a", one.address());
            RecordingCaller caller = send("/p/x", "key");
            one.takeRequest();
            addUpstream("b", two.address());
            return caller.answer.join();
        }
    }

    @DataProvider
    public Object[][] silencesInStream() {
        return new Object[][] {
            {"before the head", "", STREAM_HEAD + FIRST_EVENT + LAST_EVENT},
            {"inside the head", "HTTP/1.1 200 OK\r\nid", STREAM_HEAD.substring(19) + FIRST_EVENT + LAST_EVENT},
            {"after the head", STREAM_HEAD, FIRST_EVENT + LAST_EVENT},
            {"between events", STREAM_HEAD + FIRST_EVENT, LAST_EVENT},
            {"inside an event", STREAM_HEAD + FIRST_EVENT + "id: 2\nda", "ta: b\n\n"},
            {"before the last byte", STREAM_HEAD + FIRST_EVENT + "id: 2\ndata: b\n", "\n"},
        };
    }

    /** What an upstream does that cannot serve the request, after which the silent one goes on. */
    private static Stream<Map.Entry<String, Function<CountDownLatch, ScriptedUpstream.Script>>> others() {
        return Stream.of(
                Map.entry("refuses", done -> answerThenTell(done, NOT_RUN_ANSWER, true)),
                Map.entry("breaks off", done -> answerThenTell(done, STREAM_HEAD, false)),
                Map.entry("sends half a head", done -> answerThenTell(done, "HTTP/1.1 200 OK\r\nid", false)),
                Map.entry("is silent too", done -> (request, connection) -> {
                    done.countDown();
                    return !ScriptedUpstream.isClosedByClient(connection);
                }));
    }

    @DataProvider
    public Object[][] silencesAndOthers() {
        return Arrays.stream(silencesInStream())
                .flatMap(silence -> others().map(other -> new Object[] {
                    silence[0] + ", the other one " + other.getKey(), silence[1], silence[2], other.getValue()
                }))
                .toArray(Object[][]::new);
    }

    /** Guards against a stream that is cut although its upstream goes on, since the other one does not serve it. */
    @Test(dataProvider = "silencesAndOthers")
    public void streamOfSilentUpstreamIsNotCutWhenOtherDoesNotServeIt(
            String what, String before, String after, Function<CountDownLatch, ScriptedUpstream.Script> other)
            throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        CountDownLatch goOn = new CountDownLatch(1);
        assertEquals(answerOf(silentUntil(goOn, before, after), other.apply(goOn)), WHOLE_STREAM, what);
    }

    /** Guards against a stream that stays at an upstream that is silent for good, and against lost or double events. */
    @Test(dataProvider = "silencesInStream")
    public void streamMovesToOtherUpstreamThatAnswers(String where, String before, String after) throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        ScriptedUpstream.Script silent = (request, connection) -> {
            ScriptedUpstream.write(connection, before);
            return !ScriptedUpstream.isClosedByClient(connection);
        };
        ScriptedUpstream.Script other = (request, connection) -> {
            String rest = request.contains("after: 1") ? LAST_EVENT : FIRST_EVENT + LAST_EVENT;
            ScriptedUpstream.write(connection, okAnswer(rest));
            return true;
        };
        assertEquals(answerOf(silent, other), WHOLE_STREAM, where);
    }

    /** Guards against a stream that is cut while two upstreams are asked, since a planned stop has begun. */
    @Test
    public void streamAtSilentUpstreamIsServedDuringPlannedStop() throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        CountDownLatch goOn = new CountDownLatch(1);
        ScriptedUpstream.Script other = (request, connection) -> {
            forwarder.beginStop(Duration.ofSeconds(10));
            goOn.countDown();
            return !ScriptedUpstream.isClosedByClient(connection);
        };
        assertEquals(answerOf(silentUntil(goOn, STREAM_HEAD + FIRST_EVENT, LAST_EVENT), other), WHOLE_STREAM);
    }

    /** Guards against a request without a final answer, or an upstream at work, when a stop ends with two asked. */
    @Test
    public void endOfPlannedStopEndsBothUpstreams() throws Exception {
        configure(RequestKind.IDEMPOTENT, false, 2, Duration.ofSeconds(20), Duration.ofMillis(200));
        CountDownLatch closed = new CountDownLatch(2);
        ScriptedUpstream.Script first = (request, connection) -> {
            if (ScriptedUpstream.isClosedByClient(connection)) {
                closed.countDown();
            }
            return false;
        };
        ScriptedUpstream.Script second = (request, connection) -> {
            forwarder.beginStop(Duration.ofSeconds(10));
            forwarder.endOpenRequests();
            return first.answer(request, connection);
        };
        assertEquals(answerOf(first, second), "504 " + ResultCode.DEADLINE_PASSED);
        closed.await();
    }

    /** Guards against a refusal of an idempotent request whose upstream answers a little late. */
    @Test
    public void lateIdempotentRequestIsAnsweredWhenOtherRefusesIt() throws Exception {
        configure(RequestKind.IDEMPOTENT, false, 2, Duration.ofSeconds(20), Duration.ofMillis(200));
        CountDownLatch refused = new CountDownLatch(1);
        assertEquals(
                answerOf(silentUntil(refused, "", okAnswer("done")), answerThenTell(refused, NOT_RUN_ANSWER, true)),
                "200 done");
    }

    /** Guards against an error of the other upstream that replaces the answer of a late one. */
    @Test
    public void lateIdempotentRequestIsAnsweredWhenOtherFails() throws Exception {
        configure(RequestKind.IDEMPOTENT, false, 2, Duration.ofSeconds(20), Duration.ofMillis(200));
        CountDownLatch failed = new CountDownLatch(1);
        String error = "HTTP/1.1 500 x\r\nid: 1\r\nContent-Length: 0\r\n\r\n";
        assertEquals(
                answerOf(silentUntil(failed, "", okAnswer("done")), answerThenTell(failed, error, true)), "200 done");
    }

    /** Guards against two upstreams that go on working on one stream once the silent one has sent more. */
    @Test
    public void otherUpstreamIsCancelledWhenSilentOneGoesOn() throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch cancelled = new CountDownLatch(1);
        assertEquals(
                answerOf(
                        (request, connection) -> {
                            ScriptedUpstream.write(connection, STREAM_HEAD + FIRST_EVENT);
                            await(asked);
                            ScriptedUpstream.write(connection, "id: 2\n");
                            await(cancelled);
                            ScriptedUpstream.write(connection, "data: b\n\n");
                            return true;
                        },
                        (request, connection) -> {
                            asked.countDown();
                            if (ScriptedUpstream.isClosedByClient(connection)) {
                                cancelled.countDown();
                            }
                            return false;
                        }),
                WHOLE_STREAM);
    }

    /** Guards against events that come twice or are missing when the other upstream takes the stream over. */
    @Test
    public void silentUpstreamIsCancelledWhenOtherSendsNextEvent() throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        CountDownLatch cancelled = new CountDownLatch(1);
        assertEquals(
                answerOf(
                        (request, connection) -> {
                            ScriptedUpstream.write(connection, STREAM_HEAD + FIRST_EVENT + "id: 2\nda");
                            if (ScriptedUpstream.isClosedByClient(connection)) {
                                cancelled.countDown();
                            }
                            return false;
                        },
                        (request, connection) -> {
                            ScriptedUpstream.write(connection, STREAM_HEAD + LAST_EVENT);
                            await(cancelled);
                            ScriptedUpstream.write(connection, "id: 3\ndata: c\n\n");
                            return true;
                        }),
                WHOLE_STREAM + "id: 3;data: c;;");
    }

    /** Guards against a stream that is lost when the silent upstream breaks off while another one works on it. */
    @Test
    public void otherUpstreamGoesOnWhenSilentOneBreaksOff() throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        CountDownLatch asked = new CountDownLatch(1);
        assertEquals(
                answerOf(
                        (request, connection) -> {
                            ScriptedUpstream.write(connection, STREAM_HEAD + FIRST_EVENT + "id: 2\nda");
                            await(asked);
                            return false;
                        },
                        (request, connection) -> {
                            asked.countDown();
                            awaitEndOfFirst();
                            ScriptedUpstream.write(connection, STREAM_HEAD.replace("30", "15") + LAST_EVENT);
                            return true;
                        }),
                WHOLE_STREAM);
    }

    private void awaitEndOfFirst() {
        awaitEndOf("a");
    }

    private void awaitEndOf(String upstreamId) {
        while (entry.openRequests(upstreamId) > 0) {
            Thread.onSpinWait();
        }
    }

    /** Guards against a request that stays at one of two upstreams after its caller has left. */
    @Test
    public void bothUpstreamsAreCancelledWhenCallerLeaves() throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch cancelled = new CountDownLatch(2);
        ScriptedUpstream.Script waitForClose = (request, connection) -> {
            if (ScriptedUpstream.isClosedByClient(connection)) {
                cancelled.countDown();
            }
            return false;
        };
        try (ScriptedUpstream one = new ScriptedUpstream(waitForClose);
                ScriptedUpstream two = new ScriptedUpstream((request, connection) -> {
                    asked.countDown();
                    return waitForClose.answer(request, connection);
                })) {
            addUpstream("a", one.address());
            RecordingCaller caller = send("/p/x", "key");
            one.takeRequest();
            addUpstream("b", two.address());
            asked.await();
            caller.goneAction.join().run();
            cancelled.await();
        }
    }

    /** Guards against a request that has no final answer at its deadline while two upstreams are silent. */
    @Test
    public void deadlinePassesWhileBothUpstreamsAreSilent() throws Exception {
        configure(RequestKind.IDEMPOTENT, false, 2, Duration.ofMillis(1_500), Duration.ofMillis(100));
        ScriptedUpstream.Script silent = (request, connection) -> !ScriptedUpstream.isClosedByClient(connection);
        CountDownLatch asked = new CountDownLatch(1);
        ScriptedUpstream.Script second = (request, connection) -> {
            asked.countDown();
            return silent.answer(request, connection);
        };
        assertEquals(answerOf(silent, second), "504 " + ResultCode.DEADLINE_PASSED);
        asked.await();
    }

    @DataProvider
    public Object[][] errors() {
        return new Object[][] {{"500"}, {"000"}, {"0200"}};
    }

    /** Guards against a working second upstream that is given up for an error of the silent one, or for no answer. */
    @Test(dataProvider = "errors")
    public void otherUpstreamGoesOnWhenSilentOneAnswersAnError(String status) throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        CountDownLatch asked = new CountDownLatch(1);
        ScriptedUpstream.Script first =
                silentUntil(asked, "", "HTTP/1.1 " + status + " x\r\nid: 1\r\nContent-Length: 4\r\n\r\noops");
        ScriptedUpstream.Script second = (request, connection) -> {
            asked.countDown();
            awaitEndOfFirst();
            ScriptedUpstream.write(connection, STREAM_HEAD + FIRST_EVENT + LAST_EVENT);
            return true;
        };
        assertEquals(answerOf(first, second), WHOLE_STREAM);
    }

    @DataProvider
    public Object[][] bytesWithoutNewEvent() {
        String head = STREAM_HEAD.replace("30", "60");
        return new Object[][] {
            {"a comment", head + ": \n"},
            {"half an event", head + "id: 2\nda"},
            {"a known event", head + FIRST_EVENT},
            {"a status that is none", head.replace(" 200 ", " 0200 ") + LAST_EVENT.replace("b", "X")},
        };
    }

    /** Guards against a stream that is given up for bytes of another upstream that its caller cannot use. */
    @Test(dataProvider = "bytesWithoutNewEvent")
    public void silentUpstreamIsKeptUntilOtherHasSentNewEvent(String what, String bytes) throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        CountDownLatch sent = new CountDownLatch(1);
        assertEquals(
                answerOf(silentUntil(sent, STREAM_HEAD + FIRST_EVENT, LAST_EVENT), (request, connection) -> {
                    ScriptedUpstream.write(connection, bytes);
                    connection.shutdownOutput();
                    awaitEndOf("b");
                    sent.countDown();
                    return false;
                }),
                WHOLE_STREAM,
                what);
    }

    /** Guards against parts of two runs in one stream, and a cut, when the second answer is of another kind. */
    @Test
    public void streamIsNotJoinedWithAnswerOfAnotherKind() throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        String otherKind = STREAM_HEAD.replace("id: 1", "id: 1\r\nContent-Type: text/plain");
        CountDownLatch secondHead = new CountDownLatch(1);
        CountDownLatch firstHead = new CountDownLatch(1);
        CountDownLatch dropped = new CountDownLatch(1);
        assertEquals(
                answerOf(
                        (request, connection) -> {
                            await(secondHead);
                            ScriptedUpstream.write(connection, STREAM_HEAD);
                            firstHead.countDown();
                            await(dropped);
                            ScriptedUpstream.write(connection, FIRST_EVENT + LAST_EVENT);
                            return true;
                        },
                        (request, connection) -> {
                            ScriptedUpstream.write(connection, otherKind);
                            awaitHeads(1);
                            secondHead.countDown();
                            await(firstHead);
                            awaitHeads(2);
                            ScriptedUpstream.write(connection, "id: 1\ndata: X\n\n");
                            awaitEndOf("b");
                            dropped.countDown();
                            return false;
                        }),
                WHOLE_STREAM);
    }

    private void awaitHeads(int count) {
        while (entry.headCount() < count) {
            Thread.onSpinWait();
        }
    }

    /**
     * Guards against a stream that is taken from its upstream since its caller reads slowly, so that nothing is read
     * there. Another request at the same upstream shows when the upstream counts as silent.
     */
    @Test
    public void slowCallerIsNoSilenceOfUpstream() throws Exception {
        configure(RequestKind.STREAM, true, 2, Duration.ofSeconds(20));
        String event = "data: " + "x".repeat(100_000) + "\n\n";
        String body = event.repeat(4);
        CountDownLatch end = new CountDownLatch(1);
        try (ScriptedUpstream one = new ScriptedUpstream((request, connection) -> {
                    String head = STREAM_HEAD.replace("30", Integer.toString(body.length()));
                    ScriptedUpstream.write(connection, request.contains("/slow") ? head + body : head);
                    await(end);
                    return false;
                });
                ScriptedUpstream two = new ScriptedUpstream((request, connection) -> {
                    await(end);
                    return false;
                })) {
            addUpstream("a", one.address());
            SlowCaller slow = new SlowCaller();
            forwarder.handle(new CallerRequest("POST", "/p/slow", KEY, ByteString.EMPTY), slow);
            one.takeRequest();
            slow.paused.join();
            send("/p/x", "key");
            one.takeRequest();
            addUpstream("b", two.address());
            assertFalse(two.takeRequest().contains("/slow"));
            loop.submit(() -> {}).sync();
            assertEquals(two.untakenRequestCount(), 0);
            slow.release();
            assertEquals(slow.answered.join().size(), body.length());
            end.countDown();
        }
    }

    /** Takes parts of the body at first without reading them. */
    private static final class SlowCaller implements CallerExchange {
        private static final int PAUSE_BYTES = 256 * 1024;

        final CompletableFuture<Void> paused = new CompletableFuture<>();
        final CompletableFuture<ByteString> answered = new CompletableFuture<>();
        private final List<Runnable> unread = new ArrayList<>();
        private ByteString body = ByteString.EMPTY;
        private boolean reading;

        @Override
        public void respond(int status, List<Map.Entry<String, String>> headers, ByteString content) {
            answered.complete(content);
        }

        @Override
        public void start(int status, List<Map.Entry<String, String>> headers) {}

        @Override
        public synchronized void write(ByteString part, Runnable written) {
            body = body.concat(part);
            if (reading) {
                written.run();
            } else {
                unread.add(written);
            }
            if (body.size() > PAUSE_BYTES) {
                paused.complete(null);
            }
        }

        synchronized void release() {
            reading = true;
            unread.forEach(Runnable::run);
        }

        @Override
        public void end() {
            answered.complete(body);
        }

        @Override
        public void abort() {
            answered.complete(ByteString.EMPTY);
        }

        @Override
        public void onGone(Runnable action) {}
    }
}

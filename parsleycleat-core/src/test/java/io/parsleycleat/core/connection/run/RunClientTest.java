package io.parsleycleat.core.connection.run;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import io.parsleycleat.core.connection.peer.FakeSides;
import io.parsleycleat.core.process.result.ResultCode;
import io.parsleycleat.core.version.configuration.VirtualScheduler;
import io.parsleycleat.wire.run.AnswerChunk;
import io.parsleycleat.wire.run.AnswerEnd;
import io.parsleycleat.wire.run.AnswerHead;
import io.parsleycleat.wire.run.RunMessage;
import io.parsleycleat.wire.run.Start;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RunClientTest {
    private static final String SIDE = "side-1";
    private static final int LOSSES = 20;
    private static final long RESUMED_MILLIS = 1_000;

    private VirtualScheduler scheduler;
    private FakeSides sides;
    private List<FakeSides.Channel> channels;
    private List<RunMessage> messages;
    private RunClient client;
    private Collector collector;

    @BeforeMethod
    public void createClient() {
        scheduler = new VirtualScheduler();
        sides = new FakeSides();
        channels = new ArrayList<>();
        messages = new ArrayList<>();
        sides.add(SIDE, (message, channel) -> {
            messages.add(message);
            channels.add(channel);
        });
        client = new RunClient(sides, sides, scheduler, 1);
        collector = new Collector();
    }

    /** Guards against a live answer that is given up since its connections were lost too often in all. */
    @Test
    public void answerThatGoesOnAfterEachLostConnectionIsNotGivenUp() {
        client.start(SIDE, Start.getDefaultInstance(), collector);
        for (int i = 0; i < LOSSES; i++) {
            last().answer(message()
                    .setChunk(AnswerChunk.newBuilder().setSequence(i).setData(ByteString.copyFromUtf8("x")))
                    .build());
            last().lose();
            scheduler.advance(RESUMED_MILLIS);
        }
        last().answer(message()
                .setEnd(AnswerEnd.newBuilder().setChunkCount(LOSSES))
                .build());
        assertEquals(collector.chunks, LOSSES);
        assertEquals(collector.ends, List.of(ResultCode.DONE.number()));
    }

    /** Guards against a side that is asked for ever although it never answers. */
    @Test
    public void sideThatAnswersNothingIsGivenUp() {
        client.start(SIDE, Start.getDefaultInstance(), collector);
        for (int i = 0; i < LOSSES && collector.ends.isEmpty(); i++) {
            last().lose();
            scheduler.advance(RESUMED_MILLIS);
        }
        assertEquals(collector.ends, List.of(ResultCode.SIDE_LOST.number()));
    }

    private FakeSides.Channel last() {
        return channels.get(channels.size() - 1);
    }

    private RunMessage.Builder message() {
        return RunMessage.newBuilder().setRunId(messages.get(0).getRunId());
    }

    /** Collects one answer. */
    private static final class Collector implements RunListener {
        private final List<Integer> ends = new ArrayList<>();
        private int chunks;

        @Override
        public void onStart(RunHandle run) {}

        @Override
        public void onHead(AnswerHead head) {}

        @Override
        public void onChunk(AnswerChunk chunk) {
            chunks++;
        }

        @Override
        public void onEnd(AnswerEnd end) {
            ends.add(end.getCode());
        }
    }
}

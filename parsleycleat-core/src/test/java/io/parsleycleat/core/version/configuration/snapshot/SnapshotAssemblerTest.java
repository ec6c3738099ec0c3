package io.parsleycleat.core.version.configuration.snapshot;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.parsleycleat.wire.configuration.Snapshot;
import io.parsleycleat.wire.configuration.SnapshotChunk;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class SnapshotAssemblerTest {
    private static final Snapshot LARGE = snapshot(10_000);

    private static Snapshot snapshot(int keys) {
        return Snapshot.newBuilder()
                .setNextOffset(77)
                .addAllWithdrawnKeyIds(IntStream.range(0, keys)
                        .mapToObj(i -> "key-number-" + i)
                        .toList())
                .build();
    }

    private static List<SnapshotChunk> chunks(String id, Snapshot snapshot) {
        return SnapshotChunks.split(id, snapshot).stream()
                .map(record -> record.getSnapshotChunk())
                .toList();
    }

    private static Optional<Snapshot> assemble(List<SnapshotChunk> chunks) {
        SnapshotAssembler assembler = new SnapshotAssembler();
        return IntStream.range(0, chunks.size())
                .mapToObj(i -> assembler.add(100 + i, i, chunks.get(i)))
                .flatMap(Optional::stream)
                .map(SnapshotAssembler.Assembled::snapshot)
                .findFirst();
    }

    @Test
    public void chunksInAnyOrderAndTwiceMakeOneSnapshot() {
        List<SnapshotChunk> chunks = new ArrayList<>(chunks("s", LARGE));
        assertTrue(chunks.size() > 2);
        chunks.addAll(List.copyOf(chunks));
        Collections.shuffle(chunks, new Random(5));
        assertEquals(assemble(chunks).orElseThrow(), LARGE);
    }

    @Test
    public void snapshotsOfTwoWritersDoNotMix() {
        List<SnapshotChunk> one = chunks("one", LARGE);
        List<SnapshotChunk> two = chunks("two", snapshot(6_000));
        List<SnapshotChunk> mixed = IntStream.range(0, one.size() - 1)
                .boxed()
                .flatMap(i -> List.of(one.get(i), two.get(Math.min(i, two.size() - 1))).stream())
                .toList();
        assertEquals(assemble(mixed).orElseThrow(), snapshot(6_000));
    }

    @Test
    public void anIncompleteSnapshotIsPassedOver() {
        List<SnapshotChunk> chunks = chunks("s", LARGE);
        for (int missing = 0; missing < chunks.size(); missing++) {
            List<SnapshotChunk> rest = new ArrayList<>(chunks);
            rest.remove(missing);
            assertTrue(assemble(rest).isEmpty(), "without chunk " + missing);
        }
    }

    @Test
    public void aSnapshotWithOtherContentThanItsHashIsPassedOver() {
        SnapshotChunk chunk = chunks("s", snapshot(3)).get(0);
        SnapshotChunk forged =
                chunk.toBuilder().setData(snapshot(2).toByteString()).build();
        assertTrue(assemble(List.of(forged)).isEmpty());
        assertEquals(assemble(List.of(chunk)).orElseThrow(), snapshot(3));
    }

    @Test
    public void aChunkWithImpossibleNumbersIsIgnored() {
        SnapshotChunk chunk = chunks("s", snapshot(3)).get(0);
        assertTrue(assemble(List.of(chunk.toBuilder().setCount(0).build())).isEmpty());
        assertTrue(assemble(List.of(chunk.toBuilder().setCount(-1).build())).isEmpty());
        assertTrue(assemble(List.of(chunk.toBuilder().setIndex(1).build())).isEmpty());
        assertTrue(assemble(List.of(chunk.toBuilder().setIndex(-1).build())).isEmpty());
    }
}

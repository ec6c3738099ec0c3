package io.parsleycleat.core.connection.body;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Guards the bound on memory, which counts bytes, against bodies that come in very small parts. */
public class PartBufferTest {
    private static final int MIB = 1024 * 1024;

    /** Guards against a body whose one-byte parts take some ninety bytes of heap each. */
    @Test
    public void bodyOfOneBytePartsTakesFewPieces() {
        PartBuffer buffer = new PartBuffer();
        ByteString part = ByteString.copyFromUtf8("x");
        IntStream.range(0, MIB).forEach(i -> buffer.append(part));
        assertEquals(buffer.size(), MIB);
        assertTrue(buffer.heldBytes() <= 2L * MIB, buffer.heldBytes() + " bytes are held");
        int pieces = buffer.content().asReadOnlyByteBufferList().size();
        assertTrue(pieces < MIB / 10_000, pieces + " pieces");
    }

    @Test
    public void contentIsThatOfThePartsHoweverTheyAreCut() {
        IntStream.range(0, 200).forEach(seed -> {
            Random random = new Random(seed);
            byte[] bytes = new byte[random.nextInt(300_000)];
            random.nextBytes(bytes);
            ByteString body = ByteString.copyFrom(bytes);
            PartBuffer buffer = new PartBuffer();
            int from = 0;
            while (from < body.size()) {
                int to = Math.min(body.size(), from + 1 + random.nextInt(1 << random.nextInt(18)));
                buffer.append(body.substring(from, to));
                assertTrue(buffer.heldBytes() <= 2L * buffer.size() + 256, "seed " + seed);
                from = to;
            }
            assertEquals(buffer.drain(), body, "seed " + seed);
            assertTrue(buffer.isEmpty());
            assertEquals(buffer.heldBytes(), 0);
        });
    }

    @Test
    public void contentStaysAsItWasWhenMoreIsAppended() {
        PartBuffer buffer = new PartBuffer();
        buffer.append(ByteString.copyFromUtf8("ab"));
        ByteString before = buffer.content();
        buffer.append(ByteString.copyFromUtf8("cd"));
        assertEquals(before.toStringUtf8(), "ab");
        assertEquals(buffer.drain().toStringUtf8(), "abcd");
    }
}

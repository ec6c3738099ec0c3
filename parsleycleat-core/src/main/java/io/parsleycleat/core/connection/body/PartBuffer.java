package io.parsleycleat.core.connection.body;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.ByteBuffer;

/**
 * Gathers the parts of a body. They are copied into segments that grow with the body, so that the memory held follows
 * the size of the body however finely its sender has cut it.
 *
 * <p>Created for each body; used by one thread at a time.
 */
public final class PartBuffer {
    private static final int MIN_SEGMENT_BYTES = 256;
    private static final int MAX_SEGMENT_BYTES = 64 * 1024;
    private static final byte[] NO_SEGMENT = {};

    private ByteString fullSegments = ByteString.EMPTY;
    private byte[] segment = NO_SEGMENT;
    private int segmentSize;

    /** Appends a copy of a part. */
    public void append(ByteString part) {
        if (part.isEmpty()) {
            return;
        }
        append(Unpooled.wrappedBuffer(part.asReadOnlyByteBufferList().toArray(ByteBuffer[]::new)));
    }

    /** Appends a copy of the readable bytes of a part, and reads them. */
    public void append(ByteBuf part) {
        while (part.isReadable()) {
            if (segmentSize == segment.length) {
                beginSegment(part.readableBytes());
            }
            int copied = Math.min(part.readableBytes(), segment.length - segmentSize);
            part.readBytes(segment, segmentSize, copied);
            segmentSize += copied;
        }
    }

    /** Begins with a segment of the size of the first part, since most bodies and events come in one. */
    private void beginSegment(int neededBytes) {
        fullSegments = content();
        int minimum = fullSegments.isEmpty() ? neededBytes : Math.max(MIN_SEGMENT_BYTES, fullSegments.size());
        segment = new byte[Math.min(MAX_SEGMENT_BYTES, Math.max(neededBytes, minimum))];
        segmentSize = 0;
    }

    /** Returns the number of bytes appended since the buffer was empty. */
    public int size() {
        return fullSegments.size() + segmentSize;
    }

    /** Returns the memory that the bytes take, at most about twice their number. */
    public long heldBytes() {
        return (long) fullSegments.size() + segment.length;
    }

    /** Returns whether nothing was appended since the buffer was empty. */
    public boolean isEmpty() {
        return size() == 0;
    }

    /** Returns the bytes. They do not change when more are appended. */
    public ByteString content() {
        ByteString last = segmentSize == segment.length
                ? UnsafeByteOperations.unsafeWrap(segment)
                : UnsafeByteOperations.unsafeWrap(segment, 0, segmentSize);
        return fullSegments.concat(last);
    }

    /** Returns the bytes and empties the buffer. */
    public ByteString drain() {
        ByteString content = content();
        clear();
        return content;
    }

    /** Empties the buffer. */
    public void clear() {
        fullSegments = ByteString.EMPTY;
        segment = NO_SEGMENT;
        segmentSize = 0;
    }
}

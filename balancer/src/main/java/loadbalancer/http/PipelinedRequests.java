package loadbalancer.http;

import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayDeque;
import loadbalancer.transport.BodyStream;
import loadbalancer.transport.ConnectionMemory;
import loadbalancer.transport.MemoryBudget;

/** The requests of one client that have arrived and wait to be served, in order, and the memory for their bodies. */
final class PipelinedRequests {
    private static final int MAX_WAITING = 16;

    /**
     * A request that has arrived.
     *
     * @param headBytes heap that the head takes
     * @param earliestArrivalNanos the earliest time at which the last byte may have arrived, from System.nanoTime()
     */
    record Entry(HttpRequest head, int headBytes, byte[] body, BodyStream streamedBody, long earliestArrivalNanos) {}

    private final ArrayDeque<Entry> waiting = new ArrayDeque<>();
    private final MemoryBudget bodyMemory;
    private final ConnectionMemory headMemory;

    PipelinedRequests(MemoryBudget bodyMemory, ConnectionMemory headMemory) {
        this.bodyMemory = bodyMemory;
        this.headMemory = headMemory;
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Returns whether no more requests may wait; {@code scheduled} waiting ones are about to be served. */
    boolean isFull(int scheduled) {
        return waiting.size() - scheduled >= MAX_WAITING;
    }

    /** Adds a request whose body is streamed. */
    void addStreamed(Entry entry) {
        waiting.add(entry);
    }

    /** Adds a request and reserves the memory for its body. */
    void add(Entry entry) {
        bodyMemory.reserve(entry.body().length);
        waiting.add(entry);
    }

    /** Removes and returns the next request, whose memory remains reserved; null if none waits. */
    Entry poll() {
        return waiting.poll();
    }

    /** Removes the request whose body is {@code streamedBody}, if it waits; its body has become invalid. */
    void removeStreamed(BodyStream streamedBody) {
        waiting.removeIf(entry -> entry.streamedBody() == streamedBody);
    }

    /** Discards all requests and releases their memory. */
    void clear() {
        for (Entry entry = waiting.poll(); entry != null; entry = waiting.poll()) {
            bodyMemory.release(entry.body().length);
            headMemory.release(entry.headBytes());
            if (entry.streamedBody() != null) {
                entry.streamedBody().discard();
            }
        }
    }
}

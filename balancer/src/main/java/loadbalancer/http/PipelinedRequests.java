package loadbalancer.http;

import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayDeque;
import loadbalancer.transport.BodyMemoryBudget;
import loadbalancer.transport.BodyStream;

/** The requests of one client that have arrived and wait for their turn, in order, with the memory of their bodies. */
final class PipelinedRequests {
    private static final int MAX_WAITING = 16;

    /**
     * A request that has arrived.
     *
     * @param sentAtNanos the latest that its client can have sent the last byte that was read, by System.nanoTime
     */
    record Entry(HttpRequest head, byte[] body, BodyStream streamedBody, long sentAtNanos) {}

    private final ArrayDeque<Entry> waiting = new ArrayDeque<>();
    private final BodyMemoryBudget memory;

    PipelinedRequests(BodyMemoryBudget memory) {
        this.memory = memory;
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Returns whether no more may wait; {@code scheduled} of those that wait are about to be served. */
    boolean isFull(int scheduled) {
        return waiting.size() - scheduled >= MAX_WAITING;
    }

    /** Adds a request whose body is streamed. */
    void addStreamed(Entry entry) {
        waiting.add(entry);
    }

    /** Adds a request, and reserves the memory of its body. */
    void add(Entry entry) {
        memory.tryReserve(entry.body().length);
        waiting.add(entry);
    }

    /** Removes and returns the next request, whose memory stays reserved; null where none waits. */
    Entry poll() {
        return waiting.poll();
    }

    /** Drops all requests. */
    void clear() {
        for (Entry entry = waiting.poll(); entry != null; entry = waiting.poll()) {
            memory.release(entry.body().length);
            if (entry.streamedBody() != null) {
                entry.streamedBody().discard();
            }
        }
    }
}

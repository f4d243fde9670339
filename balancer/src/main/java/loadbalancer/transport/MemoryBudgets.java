package loadbalancer.transport;

/**
 * The heap that peers can make one process hold, by purpose. The capacities leave room within the heap of the run line
 * (40 MB) for the endpoint list, which may take a quarter of it, and for the connections themselves: see
 * docs/memory.md.
 *
 * @param requestBodies bodies of clients' requests, from their arrival until the responses begin
 * @param requestHeads heads and trailers of clients' requests, for the same time
 * @param responses heads and bodies of upstreams' responses, until they have been written to the clients
 */
public record MemoryBudgets(MemoryBudget requestBodies, MemoryBudget requestHeads, MemoryBudget responses) {
    /** The capacity of {@link #requestBodies} in bytes. */
    public static final long REQUEST_BODY_BYTES = 6 << 20;

    private static final long REQUEST_HEAD_BYTES = 3 << 20;
    private static final long RESPONSE_BYTES = 6 << 20;

    /** Returns unused budgets for one process. */
    public static MemoryBudgets create() {
        return new MemoryBudgets(
                new MemoryBudget(REQUEST_BODY_BYTES),
                new MemoryBudget(REQUEST_HEAD_BYTES),
                new MemoryBudget(RESPONSE_BYTES));
    }
}

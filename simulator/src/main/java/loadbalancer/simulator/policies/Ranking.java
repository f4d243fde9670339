package loadbalancer.simulator.policies;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Servers ranked by the number of jobs sent to them, most first. A count only grows by one at a time, so one swap with
 * the first server of equal count keeps the order. The cost is O(1) for any number of servers.
 */
final class Ranking {
    private long[] counts = {};
    private int[] serversByRank = {}; // server numbers, most jobs first
    private int[] rankByServer = {};
    private final java.util.HashMap<Long, Integer> firstRankByCount = new java.util.HashMap<>();

    void renumber(int[] previousNumbers) {
        long[] newCounts = new long[previousNumbers.length];
        for (int i = 0; i < newCounts.length; i++) {
            newCounts[i] =
                    previousNumbers[i] >= 0 && previousNumbers[i] < counts.length ? counts[previousNumbers[i]] : 0;
        }
        counts = newCounts;
        serversByRank = IntStream.range(0, newCounts.length)
                .boxed()
                .sorted((a, b) -> counts[a] != counts[b] ? Long.compare(counts[b], counts[a]) : Integer.compare(a, b))
                .mapToInt(Integer::intValue)
                .toArray();
        rankByServer = new int[newCounts.length];
        firstRankByCount.clear();
        for (int i = 0; i < serversByRank.length; i++) {
            rankByServer[serversByRank[i]] = i;
            firstRankByCount.putIfAbsent(counts[serversByRank[i]], i);
        }
    }

    void increment(int server) {
        long count = counts[server]++;
        int firstRank = firstRankByCount.get(count);
        int oldRank = rankByServer[server];
        int displaced = serversByRank[firstRank];
        serversByRank[firstRank] = server;
        rankByServer[server] = firstRank;
        serversByRank[oldRank] = displaced;
        rankByServer[displaced] = oldRank;
        if (firstRank + 1 < serversByRank.length && counts[serversByRank[firstRank + 1]] == count) {
            firstRankByCount.put(count, firstRank + 1);
        } else {
            firstRankByCount.remove(count);
        }
        firstRankByCount.putIfAbsent(count + 1, firstRank);
    }

    int size() {
        return serversByRank.length;
    }

    int serverAt(int rank) {
        return serversByRank[rank];
    }

    int rankOf(int server) {
        return rankByServer[server];
    }

    int[] top(int limit) {
        return Arrays.copyOf(serversByRank, Math.min(limit, serversByRank.length));
    }
}

package loadbalancer.simulator.policies;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Servers ranked by how many jobs they were sent, most first. A count only grows by one, so a server moves by one
 * swap with the first of those that had as many: O(1), however large the fleet.
 */
final class Ranking {
    private long[] counts = {};
    private int[] ranked = {}; // servers, most accomplished first
    private int[] rank = {};
    private final java.util.HashMap<Long, Integer> firsts = new java.util.HashMap<>(); // by count

    void renumber(int[] former) {
        long[] next = new long[former.length];
        for (int i = 0; i < next.length; i++) {
            next[i] = former[i] >= 0 && former[i] < counts.length ? counts[former[i]] : 0;
        }
        counts = next;
        ranked = IntStream.range(0, next.length)
                .boxed()
                .sorted((a, b) -> counts[a] != counts[b] ? Long.compare(counts[b], counts[a]) : Integer.compare(a, b))
                .mapToInt(Integer::intValue)
                .toArray();
        rank = new int[next.length];
        firsts.clear();
        for (int i = 0; i < ranked.length; i++) {
            rank[ranked[i]] = i;
            firsts.putIfAbsent(counts[ranked[i]], i);
        }
    }

    void count(int server) {
        long count = counts[server]++;
        int first = firsts.get(count);
        int at = rank[server];
        int other = ranked[first];
        ranked[first] = server;
        rank[server] = first;
        ranked[at] = other;
        rank[other] = at;
        if (first + 1 < ranked.length && counts[ranked[first + 1]] == count) {
            firsts.put(count, first + 1);
        } else {
            firsts.remove(count);
        }
        firsts.putIfAbsent(count + 1, first);
    }

    int size() {
        return ranked.length;
    }

    int at(int place) {
        return ranked[place];
    }

    int placeOf(int server) {
        return rank[server];
    }

    int[] top(int many) {
        return Arrays.copyOf(ranked, Math.min(many, ranked.length));
    }
}

package loadbalancer.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** What a balancer writes down of servers, requests and attempts: plain data, for Balance only. */
final class BalanceState {
    private BalanceState() {}

    /** A server, as this balancer sees it. */
    static final class Node {
        private static final int LEARNT_FIGURES = 11;
        Endpoint server;
        final long hash;
        final int order; // seeded shuffle: breaks ties of equal counts
        double count; // accomplishment: faded dispatches
        int points; // that it has on the ring
        int walk; // the last walk over the ring that met it
        int inFlight;
        double reported; // requests in hand, by its last report
        long reportedAt; // 0 = none yet
        double slowness = 1; // moving mean of latency / usual latency
        long slownessAt;
        final ArrayDeque<Attempt> sent = new ArrayDeque<>(); // oldest first; ended ones are dropped lazily
        final ArrayDeque<Long> penalties = new ArrayDeque<>(); // until when failed attempts keep their slots
        double oks; // faded
        double fails; // faded
        long lastOk;
        long tryBy = Long.MAX_VALUE; // it is sent something by then, whatever its rank
        long ejectedUntil;
        int ejections;
        long fullUntil; // turned an attempt away: rests for a moment
        int trial; // successes still wanted, 0 = not on trial
        double tokens; // cold budget, in attempts
        long tokensAt;

        Node(Endpoint server, int order) {
            this.server = server;
            this.hash = Hashing.hash(server.id());
            this.order = order;
        }

        /** What {@link #restore} of another process goes on from; {@code scale} is that of the faded counts. */
        double[] learnedState(long now, double scale, double slownessNow) {
            return new double[] {
                server.startedAt(),
                count / scale,
                oks / scale,
                fails / scale,
                slownessNow,
                Math.max(0, ejectedUntil - now),
                ejections,
                trial,
                tokens,
                now - lastOk,
                tryBy < Long.MAX_VALUE ? 1 : 0
            };
        }

        /** Takes over what has been learnt elsewhere about the same start of this server; else nothing. */
        void restore(double[] learnedState, long now, double scale) {
            if (learnedState == null
                    || learnedState.length != LEARNT_FIGURES
                    || (long) learnedState[0] != server.startedAt()) {
                return;
            }
            count = learnedState[1] * scale;
            oks = learnedState[2] * scale;
            fails = learnedState[3] * scale;
            slowness = learnedState[4];
            slownessAt = now;
            ejectedUntil = learnedState[5] > 0 ? now + (long) learnedState[5] : 0;
            ejections = (int) learnedState[6];
            trial = (int) learnedState[7];
            tokens = learnedState[8];
            tokensAt = now;
            lastOk = now - (long) learnedState[9];
            tryBy = learnedState[10] > 0 ? tryBy : Long.MAX_VALUE;
        }
    }

    /** One send of a request to a server. */
    static final class Attempt {
        final Node node;
        final Endpoint server; // as listed at the send: its zone and cell
        final Request request;
        final long at;
        boolean out = true;
        boolean mayHaveRun = true; // until its outcome proves otherwise

        Attempt(Node node, Request request, long at) {
            this.node = node;
            this.server = node.server;
            this.request = request;
            this.at = at;
        }
    }

    /** Requests with one key of classes that are served in order: only the first of the line is sent. */
    static final class Turn {
        final ArrayDeque<Request> line = new ArrayDeque<>();
        long restUntil; // attempts of the last one may still run until then
    }

    /** A request that is owed an answer, or has attempts out. */
    static final class Request {
        final String id;
        int number; // moves when the settings change
        final RequestClass kind;
        final long key;
        final long arrived;
        final long deadline;
        final long aimAt;
        double size = 1; // usual latencies that its hint promises
        final boolean last; // over its tenant's share, or late already
        final int attemptsMost;
        final List<Attempt> attempts = new ArrayList<>(2);
        int out;
        boolean closed;
        boolean held;
        boolean streaming;
        boolean overloaded; // its last attempt ended for want of capacity
        Turn turn; // null where no order is asked for

        Request(
                String id,
                int number,
                RequestClass kind,
                long key,
                long arrived,
                long timeLeft,
                long aimAt,
                boolean overShare,
                int attemptsMost) {
            this.attemptsMost = attemptsMost;
            this.id = id;
            this.number = number;
            this.kind = kind;
            this.key = key;
            this.arrived = arrived;
            this.deadline = arrived + timeLeft;
            this.aimAt = Math.min(aimAt, deadline);
            this.last = overShare || aimAt <= arrived;
        }
    }
}

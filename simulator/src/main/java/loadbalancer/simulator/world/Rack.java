package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.List;

/** Upstreams that share something: where it is limited, they can do less together than each alone. */
final class Rack {
    final int number;
    final int zone;
    final List<Upstream> members = new ArrayList<>();
    private final double limit; // share of their capacity; 1 = unlimited
    private double factor = 1;

    Rack(int number, int zone, double limit) {
        this.number = number;
        this.zone = zone;
        this.limit = limit;
    }

    /** By which each member is slowed at present. */
    double factor() {
        return factor;
    }

    boolean limited() {
        return limit < 1;
    }

    /** One member's busy cores changed: where that changes the factor, the others' rates change too. */
    void changed(Upstream member, long now) {
        if (limit >= 1) {
            return;
        }
        double wanted = 0;
        double all = 0;
        for (Upstream upstream : members) {
            wanted += upstream.busyCores() * upstream.speed;
            all += upstream.nominal();
        }
        double next = wanted <= limit * all ? 1 : limit * all / wanted;
        if (next != factor) {
            factor = next;
            for (Upstream upstream : List.copyOf(members)) {
                if (upstream != member) {
                    upstream.recomputeRate(now);
                }
            }
        }
    }
}

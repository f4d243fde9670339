package loadbalancer.simulator.world;

import java.util.ArrayList;
import java.util.List;

/** Upstreams that share a resource; in a limited rack their joint capacity is less than the sum of their own. */
final class Rack {
    final int number;
    final int zone;
    final List<Upstream> members = new ArrayList<>();
    private final double limit; // fraction of the total capacity of the members; 1 = unlimited
    private double factor = 1;

    Rack(int number, int zone, double limit) {
        this.number = number;
        this.zone = zone;
        this.limit = limit;
    }

    /** The factor that the rate of each member is multiplied by at present. */
    double factor() {
        return factor;
    }

    boolean limited() {
        return limit < 1;
    }

    /**
     * Recomputes the rack's factor after the load of {@code member} has changed. If the factor changes, the rates of
     * the other members are recomputed too; the caller recomputes that of {@code member} if needed.
     */
    void changed(Upstream member, long now) {
        if (limit >= 1) {
            return;
        }
        double demand = 0;
        double total = 0;
        for (Upstream upstream : members) {
            demand += upstream.busyCores() * upstream.speed;
            total += upstream.nominalCapacity();
        }
        double newFactor = demand <= limit * total ? 1 : limit * total / demand;
        if (newFactor != factor) {
            factor = newFactor;
            for (Upstream upstream : List.copyOf(members)) {
                if (upstream != member) {
                    upstream.recomputeRate(now);
                }
            }
        }
    }
}

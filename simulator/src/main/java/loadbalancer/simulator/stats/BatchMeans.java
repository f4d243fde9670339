package loadbalancer.simulator.stats;

import java.util.Arrays;

/**
 * Mean of a correlated series with its interval, by batch means (Law and Kelton, "Simulation Modeling and
 * Analysis", section 9.5.3): means of long batches are nearly independent, where neighbours are not.
 */
public final class BatchMeans {
    private final long batch;
    private double[] means = new double[32];
    private int batches;
    private long inBatch;
    private double batchSum;
    private long count;
    private double sum;

    /** Batches of {@code batch} values. */
    public BatchMeans(long batch) {
        this.batch = Math.max(1, batch);
    }

    /** Takes the next value of the series. */
    public void add(double value) {
        count++;
        sum += value;
        batchSum += value;
        if (++inBatch == batch) {
            if (batches == means.length) {
                means = Arrays.copyOf(means, 2 * batches);
            }
            means[batches++] = batchSum / batch;
            inBatch = 0;
            batchSum = 0;
        }
    }

    /** Values so far. */
    public long count() {
        return count;
    }

    /** Mean of all values. */
    public double mean() {
        return sum / count;
    }

    /** Half width of the 95% interval; NaN with fewer than two whole batches. */
    public double halfWidth() {
        return Interval.of(Arrays.copyOf(means, batches)).halfWidth();
    }
}

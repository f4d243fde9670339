package loadbalancer.simulator.stats;

import java.util.Arrays;

/**
 * Mean of a correlated series with its confidence interval, by the method of batch means (Law and Kelton,
 * "Simulation Modeling and Analysis", section 9.5.3): successive values are correlated, but the means of long
 * batches are nearly independent.
 */
public final class BatchMeans {
    private final long batchSize;
    private double[] batchMeans = new double[32];
    private int batchCount;
    private long valuesInBatch;
    private double batchSum;
    private long count;
    private double sum;

    /** Uses batches of {@code batchSize} values, at least one. */
    public BatchMeans(long batchSize) {
        this.batchSize = Math.max(1, batchSize);
    }

    /** Adds the next value of the series. */
    public void add(double value) {
        count++;
        sum += value;
        batchSum += value;
        if (++valuesInBatch == batchSize) {
            if (batchCount == batchMeans.length) {
                batchMeans = Arrays.copyOf(batchMeans, 2 * batchCount);
            }
            batchMeans[batchCount++] = batchSum / batchSize;
            valuesInBatch = 0;
            batchSum = 0;
        }
    }

    /** Number of values added so far. */
    public long count() {
        return count;
    }

    /** Mean of all values. */
    public double mean() {
        return sum / count;
    }

    /** Half width of the 95% confidence interval; NaN with fewer than two complete batches. */
    public double halfWidth() {
        return Interval.of(Arrays.copyOf(batchMeans, batchCount)).halfWidth();
    }
}

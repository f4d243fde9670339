package loadbalancer.policy;

import java.util.Arrays;
import java.util.Collection;

/**
 * Maps the index of each request class to its index after a change of settings. A class that the new settings lack
 * keeps an index after the others while requests of it are open; otherwise its statistics are dropped.
 *
 * @param newIndexes by former index, the new index, or -1 for a class whose statistics are dropped
 * @param size number of classes from now on, including former ones with open requests
 */
record ClassRemapping(int[] newIndexes, int size) {
    private static final int DROPPED = -1;

    /**
     * Creates the remapping for a change of settings.
     *
     * @param formerClasses by new index, the former index, or a negative number for a new class
     * @param formerSize number of classes before the change, including former ones with open requests
     */
    static ClassRemapping of(int[] formerClasses, int formerSize, Collection<RequestState> openRequests) {
        int[] newIndexes = new int[formerSize];
        Arrays.fill(newIndexes, DROPPED);
        for (int i = 0; i < formerClasses.length; i++) {
            if (formerClasses[i] >= 0) {
                newIndexes[formerClasses[i]] = i;
            }
        }
        int size = formerClasses.length;
        for (RequestState request : openRequests) {
            if (newIndexes[request.classIndex] == DROPPED) {
                newIndexes[request.classIndex] = size++;
            }
        }
        return new ClassRemapping(newIndexes, size);
    }

    /** Updates the class index of a request. */
    void apply(RequestState request) {
        request.classIndex = newIndexes[request.classIndex];
    }

    /** Returns the statistics by new index. New classes start from the initial values, or from 0 without one. */
    double[] apply(double[] former, double[] initial) {
        double[] remapped = Arrays.copyOf(initial, size);
        for (int i = 0; i < newIndexes.length; i++) {
            if (newIndexes[i] != DROPPED) {
                remapped[newIndexes[i]] = former[i];
            }
        }
        return remapped;
    }
}

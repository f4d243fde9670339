package loadbalancer.policy;

import java.util.Arrays;
import java.util.Collection;

/**
 * Where the statistics of each request class go when new settings number the classes anew. A class that the new
 * settings lack keeps a place behind the others while requests of it are open, and is forgotten otherwise.
 *
 * @param newIndexes by former index: the new one, or -1 for a class that is forgotten
 * @param size number of places from here on
 */
record ClassRemapping(int[] newIndexes, int size) {
    private static final int FORGOTTEN = -1;

    /**
     * The remapping for a change of settings.
     *
     * @param formerClasses by new index: the former one, or a negative number for a new class
     * @param formerSize number of places before
     */
    static ClassRemapping of(int[] formerClasses, int formerSize, Collection<RequestState> openRequests) {
        int[] newIndexes = new int[formerSize];
        Arrays.fill(newIndexes, FORGOTTEN);
        for (int i = 0; i < formerClasses.length; i++) {
            if (formerClasses[i] >= 0) {
                newIndexes[formerClasses[i]] = i;
            }
        }
        int size = formerClasses.length;
        for (RequestState request : openRequests) {
            if (newIndexes[request.classIndex] == FORGOTTEN) {
                newIndexes[request.classIndex] = size++;
            }
        }
        return new ClassRemapping(newIndexes, size);
    }

    /** Numbers a request's class anew. */
    void apply(RequestState request) {
        request.classIndex = newIndexes[request.classIndex];
    }

    /** The statistics by new index; classes that are new start from the initial ones, as far as there are any. */
    double[] apply(double[] former, double[] initial) {
        double[] moved = Arrays.copyOf(initial, size);
        for (int i = 0; i < newIndexes.length; i++) {
            if (newIndexes[i] != FORGOTTEN) {
                moved[newIndexes[i]] = former[i];
            }
        }
        return moved;
    }
}

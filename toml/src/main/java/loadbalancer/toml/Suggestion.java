package loadbalancer.toml;

import java.util.Collection;

/** Proposes the known name that a mistyped one was probably meant to be. */
public final class Suggestion {
    private static final int MAX_DISTANCE = 2;

    private Suggestion() {}

    /** "; did you mean ...?" where a known name is close to {@code word}; empty where none is. */
    public static String didYouMean(String word, Collection<String> knownNames) {
        String closest = null;
        int shortest = MAX_DISTANCE + 1;
        for (String name : knownNames.stream().sorted().toList()) {
            int distance = levenshteinDistance(word, name);
            if (distance < shortest) {
                shortest = distance;
                closest = name;
            }
        }
        return closest == null ? "" : "; did you mean '" + closest + "'?";
    }

    private static int levenshteinDistance(String left, String right) {
        int[] row = new int[right.length() + 1];
        for (int j = 0; j < row.length; j++) {
            row[j] = j;
        }
        for (int i = 1; i <= left.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j < row.length; j++) {
                int substitution = diagonal + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(substitution, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[right.length()];
    }
}

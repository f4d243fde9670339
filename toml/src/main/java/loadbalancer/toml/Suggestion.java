package loadbalancer.toml;

import java.util.Collection;

/** Suggests a known name for a mistyped one. */
public final class Suggestion {
    private static final int MAX_DISTANCE = 2;

    private Suggestion() {}

    /** Returns "; did you mean ...?" if a known name is close to {@code word}, or an empty string. */
    public static String didYouMean(String word, Collection<String> knownNames) {
        String closestName = null;
        int closestDistance = MAX_DISTANCE + 1;
        for (String name : knownNames.stream().sorted().toList()) {
            int distance = levenshteinDistance(word, name);
            if (distance < closestDistance) {
                closestDistance = distance;
                closestName = name;
            }
        }
        return closestName == null ? "" : "; did you mean '" + closestName + "'?";
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

package loadbalancer.toml;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Locations of the keys of a file and of the files that it includes. The TOML library keeps no locations, so they are
 * found by a scan for table headers and for keys at the start of lines.
 */
final class KeyLocations {
    private static final Pattern TABLE_HEADER = Pattern.compile("^\\s*\\[(\\[?)\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?$");
    private static final Pattern KEY = Pattern.compile("^\\s*([A-Za-z0-9_.\"-]+)\\s*=");

    private final Map<String, String> locations = new HashMap<>();
    private final Path root;

    KeyLocations(Path root) {
        this.root = root;
    }

    /** Adds the keys of one file, which replace those of the files that it includes. */
    void scan(Path file) throws IOException {
        Map<String, Integer> tableArraySizes = new LinkedHashMap<>();
        String table = "";
        int lineNumber = 0;
        for (String line : Files.readAllLines(file)) {
            lineNumber++;
            Matcher tableHeader = TABLE_HEADER.matcher(line);
            Matcher key = KEY.matcher(line);
            String location = file.getFileName() + ":" + lineNumber;
            if (tableHeader.matches()) {
                table = tableHeader.group(2);
                if (!tableHeader.group(1).isEmpty()) {
                    table += "[" + (tableArraySizes.merge(table, 1, Integer::sum) - 1) + "]";
                }
                locations.put(table, location);
            } else if (key.find()) {
                locations.put((table.isEmpty() ? "" : table + ".") + key.group(1), location);
            }
        }
    }

    /** Returns the location of a key, or of the table that should contain it, as {@code FILE:LINE}. */
    String location(String path) {
        String enclosing = path;
        while (!enclosing.isEmpty() && !locations.containsKey(enclosing)) {
            enclosing = parent(enclosing);
        }
        return locations.getOrDefault(enclosing, root.getFileName() + ":1");
    }

    private static String parent(String path) {
        int end = path.endsWith("]") ? path.lastIndexOf('[') : path.lastIndexOf('.');
        return end < 0 ? "" : path.substring(0, end);
    }
}

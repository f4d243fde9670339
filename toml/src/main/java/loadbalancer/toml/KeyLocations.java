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
 * Where each key of a file, and of what it includes, stands. The TOML library keeps no locations, so they are found by
 * a scan for heads of tables and for keys at the start of lines.
 */
final class KeyLocations {
    private static final Pattern HEAD = Pattern.compile("^\\s*\\[(\\[?)\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?$");
    private static final Pattern KEY = Pattern.compile("^\\s*([A-Za-z0-9_.\"-]+)\\s*=");

    private final Map<String, String> locations = new HashMap<>();
    private final Path root;

    KeyLocations(Path root) {
        this.root = root;
    }

    /** Adds the keys of one file; they replace those of the files that it includes. */
    void scan(Path file) throws IOException {
        Map<String, Integer> listSizes = new LinkedHashMap<>();
        String table = "";
        int number = 0;
        for (String line : Files.readAllLines(file)) {
            number++;
            Matcher head = HEAD.matcher(line);
            Matcher key = KEY.matcher(line);
            String location = file.getFileName() + ":" + number;
            if (head.matches()) {
                table = head.group(2);
                if (!head.group(1).isEmpty()) {
                    table += "[" + (listSizes.merge(table, 1, Integer::sum) - 1) + "]";
                }
                locations.put(table, location);
            } else if (key.find()) {
                locations.put((table.isEmpty() ? "" : table + ".") + key.group(1), location);
            }
        }
    }

    /** Where a key stands, or the table that should hold it: {@code FILE:LINE}. */
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

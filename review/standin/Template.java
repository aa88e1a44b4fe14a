package review;

import java.util.List;
import java.util.Map;

/** Fills in a template of settings as DEPLOY.md describes it. */
final class Template {
    private Template() {}

    static String fill(String text, Map<String, Object> fields) {
        return fill(text, fields, fields, "", true);
    }

    private static String fill(
            String text, Map<String, Object> fields, Object entry, String key, boolean last) {
        StringBuilder out = new StringBuilder();
        int at = 0;
        for (int from = text.indexOf("{{"); from >= 0; from = text.indexOf("{{", at)) {
            out.append(text, at, from);
            int to = text.indexOf("}}", from);
            String tag = text.substring(from + 2, to);
            at = to + 2;
            if (tag.equals(",")) {
                out.append(last ? "" : ",");
            } else if (tag.equals("@")) {
                out.append(key);
            } else if (tag.startsWith("#") || tag.startsWith("^")) {
                String name = tag.substring(1);
                String end = "{{/" + name + "}}";
                int close = text.indexOf(end, at);
                String inner = text.substring(at, close);
                at = close + end.length();
                out.append(section(inner, fields, entry, find(name, fields, entry), tag.charAt(0)));
            } else {
                boolean json = tag.endsWith("|json");
                String name = json ? tag.substring(0, tag.length() - 5) : tag;
                Object value = find(name, fields, entry);
                if (json) {
                    out.append(Json.write(value));
                } else if (value != null) {
                    out.append(value instanceof Map || value instanceof List
                            ? Json.write(value)
                            : value.toString());
                }
            }
        }
        return out.append(text.substring(at)).toString();
    }

    private static String section(
            String inner, Map<String, Object> fields, Object entry, Object value, char kind) {
        boolean present = value != null && !Boolean.FALSE.equals(value);
        if (kind == '^') {
            return present ? "" : fill(inner, fields, entry, "", true);
        }
        StringBuilder out = new StringBuilder();
        if (value instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                boolean last = i == list.size() - 1;
                out.append(fill(inner, fields, list.get(i), Integer.toString(i), last));
            }
        } else if (value instanceof Map<?, ?> map) {
            int i = 0;
            for (Map.Entry<?, ?> each : map.entrySet()) {
                boolean last = ++i == map.size();
                out.append(fill(inner, fields, each.getValue(), (String) each.getKey(), last));
            }
        } else if (present) {
            out.append(fill(inner, fields, value, "", true));
        }
        return out.toString();
    }

    private static Object find(String name, Map<String, Object> fields, Object entry) {
        if (name.equals(".")) {
            return entry;
        }
        Object found = walk(name, entry);
        return found != null ? found : walk(name, fields);
    }

    private static Object walk(String name, Object from) {
        Object value = from;
        for (String each : name.split("\\.")) {
            value = value instanceof Map<?, ?> map ? map.get(each) : null;
        }
        return value;
    }
}

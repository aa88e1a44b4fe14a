package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    static Object read(String text) {
        Json json = new Json(text);
        return json.value();
    }

    /** Builds an object from alternating names and values. */
    static Map<String, Object> object(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(out, value);
        return out.toString();
    }

    private static void write(StringBuilder out, Object value) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> each : map.entrySet()) {
                out.append(comma);
                write(out, each.getKey());
                out.append(':');
                write(out, each.getValue());
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String comma = "";
            for (Object each : list) {
                out.append(comma);
                write(out, each);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String text) {
            out.append('"');
            for (char c : text.toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ') {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private void blanks() {
        while (mAt < mText.length() && mText.charAt(mAt) <= ' ') {
            mAt++;
        }
    }

    private Object value() {
        blanks();
        char c = mText.charAt(mAt);
        if (c == '{') {
            mAt++;
            Map<String, Object> map = new LinkedHashMap<>();
            for (blanks(); mText.charAt(mAt) != '}'; blanks()) {
                if (mText.charAt(mAt) == ',') {
                    mAt++;
                    blanks();
                }
                String name = string();
                blanks();
                mAt++;
                map.put(name, value());
            }
            mAt++;
            return map;
        }
        if (c == '[') {
            mAt++;
            List<Object> list = new ArrayList<>();
            for (blanks(); mText.charAt(mAt) != ']'; blanks()) {
                if (mText.charAt(mAt) == ',') {
                    mAt++;
                }
                list.add(value());
            }
            mAt++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int from = mAt;
        while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(from, mAt);
        switch (word) {
            case "true":
                return true;
            case "false":
                return false;
            case "null":
                return null;
            default:
                return word.matches("-?[0-9]+")
                        ? (Object) Long.parseLong(word)
                        : (Object) Double.parseDouble(word);
        }
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        for (mAt++; mText.charAt(mAt) != '"'; mAt++) {
            char c = mText.charAt(mAt);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            c = mText.charAt(++mAt);
            switch (c) {
                case 'n':
                    out.append('\n');
                    break;
                case 't':
                    out.append('\t');
                    break;
                case 'r':
                    out.append('\r');
                    break;
                case 'b':
                    out.append('\b');
                    break;
                case 'f':
                    out.append('\f');
                    break;
                case 'u':
                    out.append((char) Integer.parseInt(mText.substring(mAt + 1, mAt + 5), 16));
                    mAt += 4;
                    break;
                default:
                    out.append(c);
            }
        }
        mAt++;
        return out.toString();
    }
}

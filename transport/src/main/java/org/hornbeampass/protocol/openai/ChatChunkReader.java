package org.hornbeampass.protocol.openai;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;

import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Reads the few fields that the router needs of a chunk, or of a whole answer, in one pass.
 *
 * <p>A whole answer is read like a chunk whose delta is its message. Thread-safe: the state of a
 * pass is its own.
 */
public final class ChatChunkReader {
    private static final int MAX_NESTING = 64;
    private static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build())
                    .build();

    private ChatChunkReader() {}

    /** Returns the chunk; empty where the bytes are not a JSON object of the known shape. */
    public static Optional<ChatChunk> read(byte[] json) {
        try (JsonParser parser = FACTORY.createParser(json)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return Optional.empty();
            }
            Pass pass = new Pass(parser);
            pass.object();
            return Optional.of(pass.result(json));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** The state of one pass over one chunk. */
    private static final class Pass {
        private final JsonParser mParser;
        private int mIdStart = -1;
        private int mIdEnd = -1;
        private long mContentBytes;
        private boolean mHasDelta;
        private boolean mHasChoices;
        private Optional<String> mFinishReason = Optional.empty();
        private OptionalLong mOffset = OptionalLong.empty();
        private Optional<Usage> mUsage = Optional.empty();

        Pass(JsonParser parser) {
            mParser = parser;
        }

        ChatChunk result(byte[] json) {
            return new ChatChunk(
                    json,
                    mIdStart,
                    mIdEnd,
                    mContentBytes,
                    mHasDelta,
                    mHasChoices,
                    mFinishReason,
                    mOffset,
                    mUsage);
        }

        void object() throws IOException {
            while (mParser.nextToken() == JsonToken.FIELD_NAME) {
                String name = mParser.currentName();
                JsonToken value = mParser.nextToken();
                switch (name) {
                    case "id" -> id(value);
                    case "choices" -> choices(value);
                    case "usage" -> usage(value);
                    case "token_offset" -> mOffset = number(value);
                    default -> mParser.skipChildren();
                }
            }
        }

        private void id(JsonToken value) throws IOException {
            if (value != JsonToken.VALUE_STRING) {
                mParser.skipChildren();
                return;
            }
            mIdStart = (int) mParser.currentTokenLocation().getByteOffset();
            mParser.finishToken();
            mIdEnd = (int) mParser.currentLocation().getByteOffset();
        }

        private void choices(JsonToken value) throws IOException {
            if (value != JsonToken.START_ARRAY) {
                mParser.skipChildren();
                return;
            }
            while (mParser.nextToken() != JsonToken.END_ARRAY) {
                mHasChoices = true;
                if (mParser.currentToken() == JsonToken.START_OBJECT) {
                    choice();
                } else {
                    mParser.skipChildren();
                }
            }
        }

        private void choice() throws IOException {
            while (mParser.nextToken() == JsonToken.FIELD_NAME) {
                String name = mParser.currentName();
                JsonToken value = mParser.nextToken();
                switch (name) {
                    case "delta", "message" -> delta(value);
                    case "finish_reason" -> finishReason(value);
                    default -> mParser.skipChildren();
                }
            }
        }

        private void finishReason(JsonToken value) throws IOException {
            if (value == JsonToken.VALUE_STRING) {
                mFinishReason = Optional.of(mParser.getText());
            } else {
                mParser.skipChildren();
            }
        }

        /** Counts a generated part: any field of the delta but its role that is not empty. */
        private void delta(JsonToken value) throws IOException {
            if (value != JsonToken.START_OBJECT) {
                mParser.skipChildren();
                return;
            }
            while (mParser.nextToken() == JsonToken.FIELD_NAME) {
                boolean isRole = "role".equals(mParser.currentName());
                JsonToken part = mParser.nextToken();
                if (part == JsonToken.VALUE_STRING && !isRole) {
                    text(mParser.getText());
                } else if (part.isStructStart()) {
                    int before = (int) mParser.currentLocation().getByteOffset();
                    mParser.skipChildren();
                    mContentBytes += mParser.currentLocation().getByteOffset() - before;
                    mHasDelta = true;
                }
            }
        }

        private void text(String text) {
            if (!text.isEmpty()) {
                mHasDelta = true;
                mContentBytes += PromptBound.utf8Bytes(text);
            }
        }

        private void usage(JsonToken value) throws IOException {
            if (value != JsonToken.START_OBJECT) {
                mParser.skipChildren();
                return;
            }
            OptionalLong prompt = OptionalLong.empty();
            OptionalLong completion = OptionalLong.empty();
            while (mParser.nextToken() == JsonToken.FIELD_NAME) {
                String name = mParser.currentName();
                JsonToken part = mParser.nextToken();
                switch (name) {
                    case "prompt_tokens" -> prompt = number(part);
                    case "completion_tokens" -> completion = number(part);
                    default -> mParser.skipChildren();
                }
            }
            if (prompt.isPresent() && completion.isPresent()) {
                mUsage = Optional.of(new Usage(prompt.getAsLong(), completion.getAsLong()));
            }
        }

        private OptionalLong number(JsonToken value) throws IOException {
            if (value == JsonToken.VALUE_NUMBER_INT
                    && mParser.getNumberType() != JsonParser.NumberType.BIG_INTEGER
                    && mParser.getLongValue() >= 0) {
                return OptionalLong.of(mParser.getLongValue());
            }
            mParser.skipChildren();
            return OptionalLong.empty();
        }
    }
}

package org.hornbeampass.router.flow;

import org.hornbeampass.protocol.openai.ChatChunk;

import java.nio.charset.StandardCharsets;

/**
 * Replaces the upstream's id in chunks and answers by the request's own id, and creates the chunks
 * that the router adds to an answer.
 *
 * <p>The caller thus sees a single id even if several upstreams contributed to the answer.
 * Immutable; safe for use by any thread.
 */
final class ChunkRewriter {
    private final byte[] mAnswerId;
    private final String mModel;

    ChunkRewriter(ChatPlan plan) {
        mAnswerId = plan.answerId().getBytes(StandardCharsets.UTF_8);
        mModel = plan.model();
    }

    /** Returns the chunk's JSON with its id replaced by the request's own id. */
    byte[] rewrite(ChatChunk chunk) {
        byte[] json = chunk.json();
        if (chunk.idStart() < 0) {
            return json;
        }
        int tail = json.length - chunk.idEnd();
        byte[] out = new byte[chunk.idStart() + mAnswerId.length + tail];
        System.arraycopy(json, 0, out, 0, chunk.idStart());
        System.arraycopy(mAnswerId, 0, out, chunk.idStart(), mAnswerId.length);
        System.arraycopy(json, chunk.idEnd(), out, chunk.idStart() + mAnswerId.length, tail);
        return out;
    }

    /** Returns the final chunk of an answer that was truncated at its token limit. */
    byte[] lengthLimitChunk(long nowMs) {
        String json =
                "{\"id\":"
                        + new String(mAnswerId, StandardCharsets.UTF_8)
                        + ",\"object\":\"chat.completion.chunk\",\"created\":"
                        + nowMs / 1000
                        + ",\"model\":"
                        + JsonText.quote(mModel)
                        + ",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}]}";
        return json.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the usage chunk for a bill; it takes the place of the upstream's own usage chunk. */
    byte[] usageChunk(long nowMs, BillAmount bill) {
        String json =
                "{\"id\":"
                        + new String(mAnswerId, StandardCharsets.UTF_8)
                        + ",\"object\":\"chat.completion.chunk\",\"created\":"
                        + nowMs / 1000
                        + ",\"model\":"
                        + JsonText.quote(mModel)
                        + ",\"choices\":[],\"usage\":{\"prompt_tokens\":"
                        + bill.promptTokens()
                        + ",\"completion_tokens\":"
                        + bill.completionTokens()
                        + ",\"total_tokens\":"
                        + bill.totalTokens()
                        + "}}";
        return json.getBytes(StandardCharsets.UTF_8);
    }
}

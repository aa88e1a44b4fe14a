package org.hornbeampass.router.front;

import org.hornbeampass.protocol.openai.ChatRequest;
import org.hornbeampass.router.flow.ChatPlan;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.requests.RequestKey;

/**
 * A chat completion that may be served: its caller is known and its terms allow it.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param key the request's key
 * @param caller who sent it
 * @param budget the budget that it draws on
 * @param request what was asked
 * @param plan how it is to be run
 */
public record AdmittedChat(
        RequestKey key,
        ServingConfig.Caller caller,
        BudgetKey budget,
        ChatRequest request,
        ChatPlan plan) {}

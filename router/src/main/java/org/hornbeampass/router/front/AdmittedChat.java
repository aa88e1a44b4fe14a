package org.hornbeampass.router.front;

import org.hornbeampass.protocol.openai.ChatRequest;
import org.hornbeampass.router.flow.ChatPlan;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.requests.RequestKey;

/**
 * A chat completion that may be served: the caller is known, and the terms of the caller's
 * organisation allow the request.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param key the request's key
 * @param caller the organisation that sent it, with its terms
 * @param budget the budget to which it is billed
 * @param request the parsed body
 * @param plan the limits and the deadline with which it runs
 */
public record AdmittedChat(
        RequestKey key,
        ServingConfig.Caller caller,
        BudgetKey budget,
        ChatRequest request,
        ChatPlan plan) {}

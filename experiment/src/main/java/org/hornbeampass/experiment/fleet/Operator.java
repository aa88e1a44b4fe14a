package org.hornbeampass.experiment.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import java.util.List;

/**
 * Sets a fleet up and reads its bills, as an operator does with the command line.
 *
 * <p>For use by one thread.
 */
public final class Operator {
    /** The budget that each organisation here draws on. */
    public static final String BUDGET = "main";

    /** The template from which each organisation here is made. */
    public static final String TEMPLATE = "standard";

    private static final int DEFAULT_PRIORITY = 5;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Fleet mFleet;
    private final OperatorConsole mConsole;

    /** Makes an operator of a fleet, who reaches each of its routers. */
    public Operator(Fleet fleet) {
        mFleet = fleet;
        mConsole = fleet.console();
    }

    /** Creates the template and the upstreams. */
    public void setUpFleet() {
        FleetSpec spec = mFleet.spec();
        mConsole.run(
                "template",
                "create",
                TEMPLATE,
                "--models",
                spec.model(),
                "--services",
                spec.service(),
                "--work-kinds",
                "chat,service_once,service_repeatable");
        for (int i = 0; i < mFleet.engines().size(); i++) {
            createUpstream(
                    "engine-" + i, i, mFleet.engines().get(i).uri(), "--model", spec.model());
        }
        for (int i = 0; i < mFleet.services().size(); i++) {
            createUpstream(
                    spec.service() + "-" + i,
                    i,
                    mFleet.services().get(i).uri(),
                    "--service",
                    spec.service());
        }
    }

    private void createUpstream(String name, int n, String uri, String kind, String value) {
        mConsole.run(
                "upstream",
                "create",
                name,
                "--uri",
                uri,
                kind,
                value,
                "--domain",
                mFleet.spec().domain(n).value(),
                "--region",
                mFleet.spec().region().value());
    }

    /** Creates an organisation with a paid budget and returns its caller's key. */
    public String createOrganisation(String name, String preference, long paidTokens) {
        return createOrganisation(name, preference, DEFAULT_PRIORITY, paidTokens);
    }

    /** Creates an organisation with a priority and a paid budget; returns its caller's key. */
    public String createOrganisation(
            String name, String preference, int priority, long paidTokens) {
        mConsole.run(
                "organisation",
                "create",
                name,
                "--template",
                TEMPLATE,
                "--budget",
                BUDGET,
                "--budget-preference",
                preference,
                "--priority",
                Integer.toString(priority));
        JsonNode key = json("organisation", "key", "add", name, "callers", "--output", "json");
        topUp(name, "first", paidTokens);
        return key.path("key").asText();
    }

    /** Tops a budget up, once for each id. */
    public void topUp(String organisation, String id, long tokens) {
        mConsole.run("budget", "top-up", organisation, BUDGET, Long.toString(tokens), "--id", id);
    }

    /** Waits until the newest revision is in force on each router. */
    public void awaitInForce() {
        mConsole.run("revision", "--wait", "--timeout", "30");
    }

    /** Returns an organisation's statement as the command line prints it for programs. */
    public JsonNode statement(String organisation) {
        return json("statement", organisation, "--output", "json");
    }

    /** Returns the tokens that an organisation's bills come to. */
    public long billedTokens(String organisation) {
        return statement(organisation).at("/lines/0/billedTokens").asLong(-1);
    }

    /** Returns a command's printed text. */
    public String print(String... words) {
        return mConsole.run(words);
    }

    /** Returns a command's printed JSON. */
    public JsonNode json(String... words) {
        String printed = mConsole.run(words);
        try {
            return MAPPER.readTree(printed);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(List.of(words) + " printed no JSON: " + printed, e);
        }
    }
}

package org.hornbeampass.coordination.requests;

import com.fasterxml.jackson.annotation.JsonFormat;

import io.vavr.control.Either;

import org.hornbeampass.state.BudgetId;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.Json;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.requests.AttemptId;
import org.hornbeampass.state.requests.BudgetTotals;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Encodes the state of a shard into texts for the platform, and decodes them.
 *
 * <p>Equal states are encoded to equal texts, in whatever order they were filled. Thread-safe:
 * holds no state.
 */
final class CheckpointParts {
    /** The most ids in one part: 704,000 bytes, 940,000 in Base64. */
    static final int IDS_PER_PART = 22_000;

    private static final int ID_BYTES = 4 * Long.BYTES;
    private static final int MAX_PART_CHARS = 400_000;

    private CheckpointParts() {}

    /**
     * Ids of bills, four longs each: high, low, value and amount.
     *
     * @param rows the longs as bytes, in big-endian order
     */
    private record IdPart(byte[] rows) {}

    /**
     * The withdrawal of an attempt's claim.
     *
     * @param attempt the attempt
     * @param atMs when the claim was withdrawn, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    private record Withdrawal(AttemptId attempt, long atMs) {}

    /**
     * Claims and withdrawals.
     *
     * @param held claims that were granted and not withdrawn
     * @param withdrawn attempts whose claims were withdrawn
     */
    private record ClaimPart(List<ClaimTable.HeldClaim> held, List<Withdrawal> withdrawn) {}

    /**
     * One budget's totals.
     *
     * @param organisation the organisation
     * @param budget its budget
     * @param totals the totals
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    private record TotalLine(OrganisationId organisation, BudgetId budget, BudgetTotals totals) {}

    /**
     * Totals of budgets.
     *
     * @param lines the budgets
     */
    private record TotalPart(List<TotalLine> lines) {}

    /** Encodes the ids of a closed generation, in ascending order. */
    static List<String> encodeGeneration(RecentBills.Generation generation) {
        List<long[]> ids = new ArrayList<>(generation.size());
        generation.forEach(
                (id, entry) ->
                        ids.add(new long[] {id.high(), id.low(), entry.value(), entry.amount()}));
        ids.sort(Comparator.<long[]>comparingLong(i -> i[0]).thenComparingLong(i -> i[1]));
        List<String> parts = new ArrayList<>();
        for (int from = 0; from < ids.size(); from += IDS_PER_PART) {
            int to = Math.min(ids.size(), from + IDS_PER_PART);
            ByteBuffer bytes = ByteBuffer.allocate((to - from) * ID_BYTES);
            ids.subList(from, to).forEach(row -> Arrays.stream(row).forEach(bytes::putLong));
            parts.add(Json.encode(new IdPart(bytes.array())));
        }
        return parts;
    }

    /** Decodes one part and adds its ids to a generation. */
    static Either<Failure, Boolean> decodeGeneration(String text, RecentBills.Generation into) {
        return Json.decode(text, IdPart.class)
                .map(
                        part -> {
                            ByteBuffer bytes = ByteBuffer.wrap(part.rows());
                            while (bytes.remaining() >= ID_BYTES) {
                                long high = bytes.getLong();
                                long low = bytes.getLong();
                                into.put(
                                        new RequestFingerprint(high, low),
                                        new RecentBills.Entry(bytes.getLong(), bytes.getLong()));
                            }
                            return true;
                        });
    }

    /** Encodes the claims by organisation and request, then the withdrawals by VM and number. */
    static List<String> encodeClaims(ClaimTable claims) {
        List<ClaimTable.HeldClaim> held = new ArrayList<>(claims.heldClaims());
        held.sort(
                Comparator.<ClaimTable.HeldClaim, OrganisationId>comparing(
                                h -> h.key().organisation())
                        .thenComparing(h -> h.key().request()));
        List<Withdrawal> withdrawn = new ArrayList<>();
        claims.withdrawals().forEach((a, atMs) -> withdrawn.add(new Withdrawal(a, atMs)));
        withdrawn.sort(
                Comparator.<Withdrawal, String>comparing(w -> w.attempt().vm().toString())
                        .thenComparingLong(w -> w.attempt().number()));
        List<String> parts = new ArrayList<>();
        chunks(held).forEach(c -> parts.add(Json.encode(new ClaimPart(c, List.of()))));
        chunks(withdrawn).forEach(c -> parts.add(Json.encode(new ClaimPart(List.of(), c))));
        return parts;
    }

    /** Decodes one part of claims and withdrawals into {@code into}. */
    static Either<Failure, Boolean> decodeClaims(String text, ClaimTable into) {
        return Json.decode(text, ClaimPart.class)
                .map(
                        part -> {
                            part.held().forEach(into::add);
                            part.withdrawn().forEach(w -> into.addWithdrawn(w.attempt(), w.atMs()));
                            return true;
                        });
    }

    /** Encodes the totals, in the order of the budgets. */
    static List<String> encodeTotals(Map<BudgetKey, BudgetTotals> totals) {
        List<TotalLine> lines = new ArrayList<>();
        totals.forEach((k, t) -> lines.add(new TotalLine(k.organisation(), k.budget(), t)));
        lines.sort(Comparator.comparing(TotalLine::organisation).thenComparing(TotalLine::budget));
        return chunks(lines).stream().map(c -> Json.encode(new TotalPart(c))).toList();
    }

    /** Decodes one part of totals into {@code into}. */
    static Either<Failure, Boolean> decodeTotals(String text, Map<BudgetKey, BudgetTotals> into) {
        return Json.decode(text, TotalPart.class)
                .map(
                        part -> {
                            part.lines()
                                    .forEach(
                                            l ->
                                                    into.put(
                                                            new BudgetKey(
                                                                    l.organisation(), l.budget()),
                                                            l.totals()));
                            return true;
                        });
    }

    /**
     * Splits a list so that the text of each chunk stays well below the size limit of the platform.
     */
    private static <T> List<List<T>> chunks(List<T> all) {
        List<List<T>> chunks = new ArrayList<>();
        int chars = MAX_PART_CHARS;
        for (T each : all) {
            int length = Json.encode(each).length();
            if (chars + length > MAX_PART_CHARS) {
                chunks.add(new ArrayList<>());
                chars = 0;
            }
            chunks.get(chunks.size() - 1).add(each);
            chars += length;
        }
        return chunks;
    }
}

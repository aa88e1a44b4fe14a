package org.hornbeampass.router.admin;

import io.vavr.control.Either;

import org.hornbeampass.coordination.budget.BudgetAdmin;
import org.hornbeampass.coordination.budget.LedgerFinding;
import org.hornbeampass.protocol.admin.AuditView;
import org.hornbeampass.protocol.admin.AuditView.Breach;
import org.hornbeampass.state.BudgetKey;
import org.hornbeampass.state.Failure;
import org.hornbeampass.state.OrganisationId;
import org.hornbeampass.state.budget.BudgetStatement;
import org.hornbeampass.state.requests.BudgetTotals;
import org.hornbeampass.state.requests.RequestAuditReport;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import java.util.function.BiConsumer;

/**
 * Checks the budgets' ledgers for consistency and against the bills, one organisation at a time.
 *
 * <p>Bills are read before ledgers, and the tokens drawn from a ledger grow by each grant before
 * the request that uses it runs. Bills that exceed the drawn tokens are therefore a breach, not an
 * effect of the order of reads. Thread-safe: each run has its own state, and each step starts when
 * the reply to the previous one has arrived.
 */
public final class LedgerAudit {
    private static final String WITHIN_PAID = "billed_within_paid";
    private static final String WITHIN_DRAWN = "billed_within_drawn";
    private static final String RECORDS = "request_records";

    private final ConfigurationPort mConfiguration;
    private final BudgetAdmin mAccounts;

    /** Creates an audit of the configured organisations and their accounts. */
    public LedgerAudit(ConfigurationPort configuration, BudgetAdmin accounts) {
        mConfiguration = configuration;
        mAccounts = accounts;
    }

    /** Checks all organisations that are configured or were billed; calls {@code done} once. */
    void run(
            long nowMs,
            RequestAuditReport bills,
            BiConsumer<Long, Either<Failure, AuditView>> done) {
        TreeSet<OrganisationId> organisations =
                new TreeSet<>(mConfiguration.snapshot().organisations().keySet());
        bills.totals().keySet().forEach(key -> organisations.add(key.organisation()));
        Run run = new Run(bills, List.copyOf(organisations), done);
        bills.findings().forEach(f -> run.mBreaches.add(new Breach(RECORDS, "request log", f)));
        run.auditNext(nowMs, 0);
    }

    /** The state of one audit. */
    private final class Run {
        private final RequestAuditReport mBills;
        private final List<OrganisationId> mOrganisations;
        private final BiConsumer<Long, Either<Failure, AuditView>> mDone;
        private final List<Breach> mBreaches = new ArrayList<>();
        private long mBudgets;

        Run(
                RequestAuditReport bills,
                List<OrganisationId> organisations,
                BiConsumer<Long, Either<Failure, AuditView>> done) {
            mBills = bills;
            mOrganisations = organisations;
            mDone = done;
        }

        private void auditNext(long nowMs, int index) {
            if (index == mOrganisations.size()) {
                mDone.accept(nowMs, Either.right(view()));
                return;
            }
            OrganisationId id = mOrganisations.get(index);
            mAccounts.auditLedger(
                    nowMs,
                    id,
                    (atMs, findings) -> {
                        if (findings.isLeft()) {
                            mDone.accept(atMs, Either.left(findings.getLeft()));
                            return;
                        }
                        findings.get().forEach(f -> mBreaches.add(breach(f)));
                        readStatements(atMs, index, id);
                    });
        }

        private void readStatements(long nowMs, int index, OrganisationId id) {
            mAccounts.statement(
                    nowMs,
                    id,
                    (atMs, statements) -> {
                        if (statements.isLeft()) {
                            mDone.accept(atMs, Either.left(statements.getLeft()));
                            return;
                        }
                        mBudgets += statements.get().size();
                        compare(id, statements.get());
                        auditNext(atMs, index + 1);
                    });
        }

        private void compare(OrganisationId id, List<BudgetStatement> statements) {
            mBills.totals()
                    .forEach(
                            (key, totals) -> {
                                if (key.organisation().equals(id)) {
                                    compare(key, totals, statements);
                                }
                            });
        }

        private void compare(BudgetKey key, BudgetTotals totals, List<BudgetStatement> statements) {
            long paid = 0;
            long drawn = 0;
            for (BudgetStatement statement : statements) {
                if (statement.key().equals(key)) {
                    paid = statement.paid();
                    drawn = statement.paid() - statement.available();
                }
            }
            if (totals.tokens() > paid) {
                String detail = totals.tokens() + " tokens billed, " + paid + " paid";
                mBreaches.add(new Breach(WITHIN_PAID, key.toString(), detail));
            }
            if (totals.tokens() > drawn) {
                String detail = totals.tokens() + " tokens billed, " + drawn + " drawn";
                mBreaches.add(new Breach(WITHIN_DRAWN, key.toString(), detail));
            }
        }

        private AuditView view() {
            BudgetTotals sum = mBills.sum();
            return new AuditView(
                    mOrganisations.size(),
                    mBudgets,
                    sum.bills(),
                    sum.tokens(),
                    mBills.openClaims().size() + mBills.moreOpenClaims(),
                    mBreaches);
        }
    }

    private static Breach breach(LedgerFinding finding) {
        String rule = finding.check().name().toLowerCase(Locale.ROOT);
        return new Breach(rule, finding.key().toString(), finding.detail());
    }
}

package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.protocol.admin.AdminPaths;
import org.hornbeampass.protocol.http.PercentEncoding;
import org.hornbeampass.state.Failure;

import picocli.CommandLine.Option;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * The options of a listing, and the walk over its pages.
 *
 * <p>For use by one thread.
 */
final class PageOptions {
    private static final int PROGRESS_PAGES = 10;

    @Option(
            names = "--limit",
            paramLabel = "N",
            defaultValue = "10000",
            description = "The largest number of items to show. Default: ${DEFAULT-VALUE}.")
    private int mLimit;

    @Option(
            names = "--after",
            paramLabel = "NAME",
            description = "Start after this item, as an earlier run named it.")
    private String mAfter;

    /** What was read over all pages. */
    record All<T>(List<T> items, Optional<String> next) {}

    /**
     * Reads pages until the limit or the end.
     *
     * @param session the run
     * @param path the listing's path
     * @param page the type of one page
     * @param items takes the items of a page
     * @param next takes where the next page starts
     */
    <P, T> Either<Failure, All<T>> read(
            Session session,
            String path,
            Class<P> page,
            Function<P, List<T>> items,
            Function<P, Optional<String>> next) {
        List<T> all = new ArrayList<>();
        Optional<String> after = Optional.ofNullable(mAfter);
        for (int pages = 1; all.size() < mLimit; pages++) {
            int size = Math.min(AdminPaths.MAX_PAGE, mLimit - all.size());
            String query = "?limit=" + size;
            String from = after.map(a -> "&after=" + PercentEncoding.queryValue(a)).orElse("");
            Either<Failure, P> read =
                    session.call(AdminCall.get(path + query + from), page).map(a -> a.value());
            if (read.isLeft()) {
                return Either.left(read.getLeft());
            }
            all.addAll(items.apply(read.get()));
            after = next.apply(read.get());
            if (after.isEmpty()) {
                break;
            }
            if (pages % PROGRESS_PAGES == 0) {
                session.note(all.size() + " items so far");
            }
        }
        after.ifPresent(a -> session.note("there is more: go on with --after " + a));
        return Either.right(new All<>(all, after));
    }
}

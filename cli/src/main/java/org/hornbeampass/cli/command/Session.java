package org.hornbeampass.cli.command;

import io.vavr.control.Either;

import org.hornbeampass.cli.ExitCodes;
import org.hornbeampass.cli.Hornbeamctl;
import org.hornbeampass.cli.Surroundings;
import org.hornbeampass.cli.client.AdminAnswer;
import org.hornbeampass.cli.client.AdminCall;
import org.hornbeampass.cli.client.AdminCaller;
import org.hornbeampass.protocol.http.PercentEncoding;
import org.hornbeampass.state.Failure;

import picocli.CommandLine;

import java.util.function.Function;

/**
 * One run of a command: its calls, and what it prints.
 *
 * <p>Results go to standard output, everything else to standard error. For use by one thread.
 */
final class Session {
    private static final String PREFIX = "hornbeamctl: ";

    private final Hornbeamctl mRoot;
    private final CommandLine mLine;
    private final AdminCaller mCaller;

    Session(Hornbeamctl root, CommandLine line) {
        mRoot = root;
        mLine = line;
        mCaller = root.caller(line);
    }

    Surroundings surroundings() {
        return mRoot.surroundings();
    }

    AdminCaller caller() {
        return mCaller;
    }

    /** Returns a path of segments below a root, each percent-encoded. */
    static String path(String root, String... segments) {
        StringBuilder path = new StringBuilder(root);
        for (String segment : segments) {
            path.append('/').append(PercentEncoding.pathSegment(segment));
        }
        return path.toString();
    }

    /** Makes a call, and says on standard error where the answer is not fresh. */
    <T> Either<Failure, AdminAnswer<T>> call(AdminCall call, Class<T> type) {
        Either<Failure, AdminAnswer<T>> answer = mCaller.call(call, type);
        answer.peek(a -> noteAge(a.ageSeconds(), a.server()));
        return answer;
    }

    /** Makes a call and prints its answer. */
    <T> Either<Failure, Integer> show(AdminCall call, Class<T> type, Function<T, String> table) {
        return call(call, type).map(answer -> print(answer.value(), table));
    }

    /** Prints a result in the format that is asked for. */
    <T> int print(T value, Function<T, String> table) {
        mLine.getOut().print(mRoot.output().render(value, () -> table.apply(value)));
        mLine.getOut().flush();
        return ExitCodes.OK;
    }

    /** Prints a line about the run on standard error. */
    void note(String text) {
        mLine.getErr().println(PREFIX + text);
        mLine.getErr().flush();
    }

    /** Prints lines on standard error as they are. */
    void explain(String lines) {
        mLine.getErr().print(lines);
        mLine.getErr().flush();
    }

    /** Prints a failure and returns its exit code. */
    int failed(Failure failure) {
        note(failure.kind().code() + ": " + failure.message());
        return failure.kind().exitCode();
    }

    private void noteAge(long seconds, String server) {
        if (seconds > 0) {
            note("note: this is what " + server + " knew " + seconds + " s ago");
        }
    }
}

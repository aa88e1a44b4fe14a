package org.hornbeampass.cli;

import org.hornbeampass.cli.client.AdminCaller;
import org.hornbeampass.cli.command.AuditCommand;
import org.hornbeampass.cli.command.BillsCommand;
import org.hornbeampass.cli.command.BudgetCommand;
import org.hornbeampass.cli.command.BurnCommand;
import org.hornbeampass.cli.command.CheckCommand;
import org.hornbeampass.cli.command.CompletionCommand;
import org.hornbeampass.cli.command.DrainCommand;
import org.hornbeampass.cli.command.EvacuatedCommand;
import org.hornbeampass.cli.command.ExplainCommand;
import org.hornbeampass.cli.command.LossesCommand;
import org.hornbeampass.cli.command.OrganisationCommand;
import org.hornbeampass.cli.command.ParameterName;
import org.hornbeampass.cli.command.RevisionCommand;
import org.hornbeampass.cli.command.RoutersCommand;
import org.hornbeampass.cli.command.StatementCommand;
import org.hornbeampass.cli.command.TemplateCommand;
import org.hornbeampass.cli.command.UpstreamCommand;
import org.hornbeampass.cli.command.UsageCommand;
import org.hornbeampass.cli.output.OutputFormat;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * The operators' command line.
 *
 * <p>For use by one thread.
 */
@Command(
        name = "hornbeamctl",
        description = "Operates a fleet of hornbeampass routers through any of them.",
        synopsisSubcommandLabel = "COMMAND",
        mixinStandardHelpOptions = true,
        version = "hornbeamctl 0.1.0",
        scope = ScopeType.INHERIT,
        sortOptions = false,
        usageHelpAutoWidth = true,
        subcommands = {
            TemplateCommand.class,
            OrganisationCommand.class,
            BudgetCommand.class,
            UpstreamCommand.class,
            UsageCommand.class,
            BillsCommand.class,
            StatementCommand.class,
            AuditCommand.class,
            RevisionCommand.class,
            RoutersCommand.class,
            DrainCommand.class,
            BurnCommand.class,
            CheckCommand.class,
            ExplainCommand.class,
            LossesCommand.class,
            EvacuatedCommand.class,
            CompletionCommand.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:fault inside a router or the command line",
            "2:the command line is wrong",
            "3:a field, value or body is wrong",
            "4:the key is missing, unknown or not permitted",
            "5:there is no such object",
            "6:a race was lost, or the object exists already",
            "7:the budget is exhausted",
            "8:try again later: not ready, overloaded or the platform is unavailable",
            "9:a deadline passed",
            "10:the outcome is unknown: look before it is sent again",
            "11:the audit found a breach, or an objective burns (burn --fail-on-alert)"
        })
public final class Hornbeamctl implements Runnable {
    private final Surroundings mSurroundings;

    @Spec private CommandSpec mSpec;

    @Option(
            names = "--server",
            scope = ScopeType.INHERIT,
            paramLabel = "URL",
            description =
                    "A router's admin address, such as http://127.0.0.1:9090; repeat it for others"
                            + " that are tried next. Default: HORNBEAM_SERVER (comma-separated).")
    private List<String> mServers = List.of();

    @Option(
            names = "--key-file",
            scope = ScopeType.INHERIT,
            paramLabel = "FILE",
            description =
                    "A file that holds the operator's key. Default: HORNBEAM_KEY_FILE, or the key"
                            + " itself in HORNBEAM_KEY.")
    private Path mKeyFile;

    @Option(
            names = "--ca-file",
            scope = ScopeType.INHERIT,
            paramLabel = "FILE",
            description =
                    "Certificates (PEM) of those who may sign the routers' certificates. Default:"
                            + " HORNBEAM_CA_FILE, or those of the Java runtime.")
    private Path mCaFile;

    @Option(
            names = {"-o", "--output"},
            scope = ScopeType.INHERIT,
            defaultValue = "table",
            paramLabel = "FORMAT",
            description = "One of: ${COMPLETION-CANDIDATES}. Default: ${DEFAULT-VALUE}.")
    private OutputFormat mOutput = OutputFormat.TABLE;

    @Option(
            names = "--call-timeout",
            scope = ScopeType.INHERIT,
            defaultValue = "40",
            paramLabel = "SECONDS",
            description = "How long one call may take. Default: ${DEFAULT-VALUE}.")
    private int mCallTimeoutSeconds;

    private Hornbeamctl(Surroundings surroundings) {
        mSurroundings = surroundings;
    }

    /** Runs the command line and ends the process with its exit code. */
    public static void main(String[] args) {
        System.exit(commandLine(Surroundings.ofProcess()).execute(args));
    }

    /** Returns the command line, ready to execute. */
    public static CommandLine commandLine(Surroundings surroundings) {
        CommandLine line = new CommandLine(new Hornbeamctl(surroundings));
        line.setCaseInsensitiveEnumValuesAllowed(true);
        line.registerConverter(ParameterName.class, ParameterName::parse);
        line.setExecutionExceptionHandler(
                (e, failed, result) -> {
                    failed.getErr()
                            .println(
                                    "hornbeamctl: internal fault: "
                                            + e
                                            + "; run with -h for help, and report this");
                    return org.hornbeampass.state.ErrorKind.INTERNAL.exitCode();
                });
        return line;
    }

    @Override
    public void run() {
        throw new ParameterException(
                mSpec.commandLine(), "a command is missing; see the list below");
    }

    /** Returns the format of results. */
    public OutputFormat output() {
        return mOutput;
    }

    /** Returns what the run takes from outside of itself. */
    public Surroundings surroundings() {
        return mSurroundings;
    }

    /** Returns the caller of the servers that options and environment name. */
    public AdminCaller caller(CommandLine line) {
        if (mSurroundings.caller().isPresent()) {
            return mSurroundings.caller().get();
        }
        Connection connection = new Connection(mSurroundings, line);
        return connection.open(
                mServers, mKeyFile, mCaFile, Duration.ofSeconds(mCallTimeoutSeconds));
    }
}

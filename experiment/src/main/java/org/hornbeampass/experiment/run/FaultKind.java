package org.hornbeampass.experiment.run;

import io.netty.util.concurrent.DefaultThreadFactory;

import org.hornbeampass.experiment.fleet.Fleet;
import org.hornbeampass.experiment.fleet.LinkTable;
import org.hornbeampass.experiment.fleet.Operator;
import org.hornbeampass.experiment.run.FaultStep.Direction;
import org.hornbeampass.standin.admin.FaultRule;
import org.hornbeampass.standin.engine.EngineFault;
import org.hornbeampass.standin.platform.PlatformFault;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;

/**
 * What a step of the timeline does; each runs in a thread of its own and ends by itself.
 *
 * <p>Stateless; safe for use by any thread.
 */
public enum FaultKind {
    /** The targets lose the platform and all other routers. */
    PARTITION {
        @Override
        void run(FaultContext context, FaultStep step) {
            long fromMs = System.currentTimeMillis();
            List<String> others = context.routersBut(step.targets());
            LinkTable links = context.fleet().links();
            cut(links, step.targets(), others, Direction.BOTH, true);
            links.setPlatformCut(step.targets(), true);
            FaultContext.sleep(step.forMs());
            cut(links, step.targets(), others, Direction.BOTH, false);
            links.setPlatformCut(step.targets(), false);
            context.noteOutOfReach(step.targets(), fromMs);
        }
    },
    /** The targets lose the others, in the direction given; the others are all where none are. */
    PEERS_CUT {
        @Override
        void run(FaultContext context, FaultStep step) {
            List<String> others =
                    step.others().isEmpty() ? context.routersBut(step.targets()) : step.others();
            LinkTable links = context.fleet().links();
            cut(links, step.targets(), others, step.direction(), true);
            FaultContext.sleep(step.forMs());
            cut(links, step.targets(), others, step.direction(), false);
        }
    },
    /** The targets lose the platform. */
    PLATFORM_CUT {
        @Override
        void run(FaultContext context, FaultStep step) {
            context.fleet().links().setPlatformCut(step.targets(), true);
            FaultContext.sleep(step.forMs());
            context.fleet().links().setPlatformCut(step.targets(), false);
        }
    },
    /** The platform answers nobody. */
    PLATFORM_OUTAGE {
        @Override
        void run(FaultContext context, FaultStep step) {
            context.fleet().platform().startOutage(false);
            FaultContext.sleep(step.forMs());
            context.fleet().platform().endOutage();
        }
    },
    /** Each answer of the platform comes later by the amount, in milliseconds. */
    PLATFORM_SLOW {
        @Override
        void run(FaultContext context, FaultStep step) {
            platformFault(context, step, PlatformFault.SLOW, FaultRule.always(step.amount()));
        }
    },
    /** The platform's answers to writes are lost with the amount as probability. */
    PLATFORM_LOSES_REPLIES {
        @Override
        void run(FaultContext context, FaultStep step) {
            platformFault(
                    context,
                    step,
                    PlatformFault.LOSE_REPLY,
                    FaultRule.withProbability(step.amount(), 0));
        }
    },
    /** The targets die, and start anew after the time. */
    ROUTER_CRASH {
        @Override
        void run(FaultContext context, FaultStep step) {
            together(step.targets(), name -> context.crash(name, step.forMs()));
        }
    },
    /** The targets are restarted gracefully, one after the other. */
    ROLLING_RESTART {
        @Override
        void run(FaultContext context, FaultStep step) {
            for (String name : step.targets()) {
                context.restart(name);
                context.event(name + " has restarted");
            }
        }
    },
    /** All threads of the targets stand still for the time. */
    ROUTER_PAUSE {
        @Override
        void run(FaultContext context, FaultStep step) {
            long fromMs = System.currentTimeMillis();
            for (String name : step.targets()) {
                int place = FaultContext.place(name);
                context.fleet().routers().get(place).pause(step.forMs());
            }
            FaultContext.sleep(step.forMs());
            context.noteOutOfReach(step.targets(), fromMs);
        }
    },
    /** The routers of the failure domain die, and its upstreams are out of reach. */
    DOMAIN_LOST {
        @Override
        void run(FaultContext context, FaultStep step) {
            List<String> engines =
                    namesIn(context, step, "engine-", context.fleet().spec().engines());
            context.setEngineFault(engines, EngineFault.REFUSE, 1);
            context.setEngineFault(engines, EngineFault.FREEZE, 1);
            List<String> routers = namesIn(context, step, "vm-", context.fleet().spec().routers());
            together(routers, name -> context.crash(name, step.forMs()));
            context.clearEngineFault(engines, EngineFault.REFUSE);
            context.clearEngineFault(engines, EngineFault.FREEZE);
        }
    },
    /** The target engines take work and do none. */
    ENGINE_FREEZE {
        @Override
        void run(FaultContext context, FaultStep step) {
            engineFault(context, step, EngineFault.FREEZE, 1);
        }
    },
    /** The target engines answer 500 with the amount as probability. */
    ENGINE_ERROR {
        @Override
        void run(FaultContext context, FaultStep step) {
            engineFault(context, step, EngineFault.ERROR, step.amount());
        }
    },
    /** The target engines say that they leave, and come back after the time. */
    ENGINE_LEAVING {
        @Override
        void run(FaultContext context, FaultStep step) {
            together(step.targets(), name -> context.leave(name, step.forMs()));
        }
    },
    /** An operator adds the amount of tokens to the organisation's budget. */
    TOP_UP {
        @Override
        void run(FaultContext context, FaultStep step) {
            String id = "at-" + step.atMs();
            context.operator().topUp(step.organisation(), id, step.wholeAmount());
        }
    },
    /** An operator lowers what the organisation has paid to the amount of tokens. */
    LOWER_LIMIT {
        @Override
        void run(FaultContext context, FaultStep step) {
            context.operator()
                    .print(
                            "budget",
                            "lower",
                            step.organisation(),
                            Operator.BUDGET,
                            "--to",
                            Long.toString(step.wholeAmount()));
        }
    },
    /** Operators change one template at once, as many as the amount; losers see a conflict. */
    TEMPLATE_RACE {
        @Override
        void run(FaultContext context, FaultStep step) {
            List<String> racers = new ArrayList<>();
            for (int i = 0; i < step.wholeAmount(); i++) {
                racers.add(Integer.toString(FIRST_CONCURRENT + i));
            }
            together(racers, limit -> context.event(race(context.operator(), limit)));
        }
    };

    private static final int FIRST_CONCURRENT = 1_000;

    private static final Executor THREADS =
            Executors.newCachedThreadPool(new DefaultThreadFactory("fault", true));

    /** Does the step from begin to end. */
    abstract void run(FaultContext context, FaultStep step);

    private static String race(Operator operator, String limit) {
        String what = "template set --max-concurrent " + limit;
        try {
            operator.print("template", "set", Operator.TEMPLATE, "--max-concurrent", limit);
            return what + " was accepted";
        } catch (IllegalStateException e) {
            return what + " was refused";
        }
    }

    private static void cut(
            LinkTable links, List<String> some, List<String> others, Direction way, boolean cut) {
        if (way.out()) {
            links.setCut(some, others, cut);
        }
        if (way.in()) {
            links.setCut(others, some, cut);
        }
    }

    private static void platformFault(
            FaultContext context, FaultStep step, PlatformFault fault, FaultRule rule) {
        context.fleet().platform().plan().faults().set(fault, rule);
        FaultContext.sleep(step.forMs());
        context.fleet().platform().plan().faults().clear(fault);
    }

    private static void engineFault(
            FaultContext context, FaultStep step, EngineFault fault, double probability) {
        context.setEngineFault(step.targets(), fault, probability);
        FaultContext.sleep(step.forMs());
        context.clearEngineFault(step.targets(), fault);
    }

    private static List<String> namesIn(
            FaultContext context, FaultStep step, String prefix, int count) {
        Fleet fleet = context.fleet();
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (step.targets().contains(fleet.spec().domain(i).value())) {
                names.add(prefix + i);
            }
        }
        return names;
    }

    /** One action on each of some names. */
    private interface Action {
        void on(String name);
    }

    private static void together(List<String> names, Action action) {
        CompletableFuture<?>[] all =
                names.stream()
                        .map(name -> CompletableFuture.runAsync(() -> action.on(name), THREADS))
                        .toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(all).join();
    }
}

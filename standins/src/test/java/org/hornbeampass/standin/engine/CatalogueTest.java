package org.hornbeampass.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.hornbeampass.standin.engine.Catalogue.Outcome;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Optional;

/** Tests {@link Catalogue}. */
class CatalogueTest {
    private final Catalogue mEngine = new Catalogue(List.of("desk"), "decode", true);

    @Test
    void apply_ofOlderNumber_isRefusedByAnEngineThatChecks() {
        assertThat(mEngine.apply(role(5, "prefill")).outcome()).isEqualTo(Outcome.APPLIED);
        assertThat(mEngine.apply(role(4, "decode")).outcome())
                .isEqualTo(Outcome.OLD_FENCING_NUMBER);
        assertThat(mEngine.apply(role(5, "both")).outcome()).isEqualTo(Outcome.APPLIED);

        assertThat(mEngine.role()).isEqualTo("both");
        assertThat(mEngine.applied())
                .extracting(Catalogue.Applied::old)
                .containsExactly(false, true, false);
    }

    @Test
    void apply_ofOlderNumber_isAppliedByAnEngineThatDoesNotCheck() {
        Catalogue engine = new Catalogue(List.of("desk"), "decode", false);
        engine.apply(role(5, "prefill"));

        assertThat(engine.apply(role(4, "decode")).outcome()).isEqualTo(Outcome.APPLIED);
        assertThat(engine.role()).isEqualTo("decode");
        assertThat(engine.applied().get(1).old()).isTrue();
    }

    @Test
    void load_ofNewVersion_servesTheOldOneUntilLoaded() {
        Catalogue.Reply reply = mEngine.apply(Order.load(1, "desk", "2"));

        assertThat(reply.fetch()).hasValue("desk@2");
        assertThat(mEngine.find("desk").orElseThrow().readyVersion()).hasValue("1");
        mEngine.loaded("desk@2");
        assertThat(mEngine.find("desk").orElseThrow().readyVersion()).hasValue("2");
    }

    @Test
    void load_twice_fetchesOnce() {
        mEngine.apply(Order.load(1, "review", "1"));

        assertThat(mEngine.apply(Order.load(1, "review", "1")).fetch()).isEmpty();
        assertThat(mEngine.find("review").orElseThrow().readyVersion()).isEmpty();
    }

    @Test
    void loaded_afterUnload_isIgnored() {
        mEngine.apply(Order.load(1, "review", "1"));
        mEngine.apply(order(2, Order.Action.UNLOAD, "review", Optional.empty()));
        mEngine.loaded("review@1");

        assertThat(mEngine.find("review")).isEmpty();
    }

    @Test
    void loadFailed_leavesTheReadyVersion() {
        mEngine.apply(Order.load(1, "desk", "2"));
        mEngine.loadFailed("desk@2");

        assertThat(mEngine.find("desk").orElseThrow().readyVersion()).hasValue("1");
        assertThat(mEngine.apply(Order.load(1, "desk", "2")).fetch()).hasValue("desk@2");
    }

    @Test
    void adapter_standsOnItsModelAndGoesWithIt() {
        Order adapter = order(1, Order.Action.LOAD, "desk", Optional.of("pilots"));
        assertThat(mEngine.apply(adapter).fetch()).hasValue("pilots@1");
        mEngine.loaded("pilots@1");
        assertThat(mEngine.find("pilots").orElseThrow().base()).hasValue("desk");

        mEngine.apply(order(2, Order.Action.UNLOAD, "desk", Optional.empty()));

        assertThat(mEngine.models()).isEmpty();
        assertThat(mEngine.apply(adapter).outcome()).isEqualTo(Outcome.OLD_FENCING_NUMBER);
        assertThat(
                        mEngine.apply(order(2, Order.Action.LOAD, "desk", Optional.of("pilots")))
                                .outcome())
                .isEqualTo(Outcome.BASE_MODEL_MISSING);
    }

    private static Order role(long fencing, String role) {
        return new Order(
                fencing,
                Order.Action.SET_ROLE,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.of(role));
    }

    private static Order order(
            long fencing, Order.Action action, String model, Optional<String> adapter) {
        return new Order(
                fencing, action, Optional.of(model), adapter, Optional.empty(), Optional.empty());
    }
}

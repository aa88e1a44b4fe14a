package org.hornbeampass.coordination.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.hornbeampass.coordination.platform.PagedListing.PageResult.COMPLETE;
import static org.hornbeampass.coordination.platform.PagedListing.PageResult.MORE;
import static org.hornbeampass.coordination.platform.PagedListing.PageResult.NOT_ADVANCING;
import static org.hornbeampass.coordination.platform.PagedListing.PageResult.RESTORED;

import org.hornbeampass.coordination.platform.PagedListing.PageResult;
import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;
import org.junit.jupiter.api.Test;

import java.util.Arrays;

/** Checks that a list is read whole, and that each list ends. */
class PagedListingTest {
    private final PagedListing mListing = new PagedListing("servers/", 2);

    private static StoredObject object(String name, long version) {
        return new StoredObject("servers/" + name, "{}", version);
    }

    private PageResult add(boolean more, long version, String... names) {
        return mListing.add(
                new PlatformReply.Listed(
                        Arrays.stream(names).map(n -> object(n, 1)).toList(), more, version));
    }

    private String after() {
        return mListing.nextCall().afterKey();
    }

    @Test
    void pages_areReadFromTheLastKeyOfTheOneBefore() {
        assertThat(mListing.nextCall()).isEqualTo(new PlatformCall.ListObjects("servers/", "", 2));
        assertThat(add(true, 9, "a", "b%")).isEqualTo(MORE);
        assertThat(after()).isEqualTo("servers/b%");
        assertThat(add(false, 11, "c")).isEqualTo(COMPLETE);
        assertThat(mListing.objects()).extracting(StoredObject::key).hasSize(3);
        assertThat(mListing.version()).isEqualTo(9);
    }

    /** Guards against a list that is read without end. */
    @Test
    void pageThatBringsNothingNew_endsTheList() {
        assertThat(add(true, 9, "a", "b")).isEqualTo(MORE);
        assertThat(add(true, 9, "a", "b")).isEqualTo(NOT_ADVANCING);
        assertThat(after()).isEmpty();
        assertThat(add(true, 9, "a", "b")).isEqualTo(MORE);
        assertThat(add(true, 9)).isEqualTo(NOT_ADVANCING);
    }

    @Test
    void listWithNewNamesOnEachPage_endsAtItsMostPages() {
        int pages = 0;
        PageResult result = MORE;
        while (result == MORE) {
            result = add(true, 9, "n-" + pages++);
        }
        assertThat(result).isEqualTo(NOT_ADVANCING);
        assertThat(pages).isEqualTo(PagedListing.MAX_PAGES);
    }

    @Test
    void objectThatIsListedTwice_isKeptOnceInItsNewestVersion() {
        assertThat(add(true, 9, "a", "b")).isEqualTo(MORE);
        PlatformReply.Listed again =
                new PlatformReply.Listed(Arrays.asList(object("b", 7), object("c", 8)), false, 9);
        assertThat(mListing.add(again)).isEqualTo(COMPLETE);
        assertThat(mListing.objects())
                .containsExactly(object("a", 1), object("b", 7), object("c", 8));
    }

    @Test
    void entryWithoutANameThatCanBeStated_isNoPlaceToGoOn() {
        assertThat(add(true, 9, "a", "", "b\ud800")).isEqualTo(MORE);
        assertThat(after()).isEqualTo("servers/a");
        assertThat(add(true, 9, "c\ud800")).isEqualTo(NOT_ADVANCING);
    }

    @Test
    void pageOfALaterEra_beginsTheListAgain() {
        assertThat(add(true, StoreVersion.of(1, 9), "a")).isEqualTo(MORE);
        assertThat(add(false, StoreVersion.of(2, 4), "b")).isEqualTo(RESTORED);
        assertThat(after()).isEmpty();
        assertThat(add(false, StoreVersion.of(2, 4), "a")).isEqualTo(COMPLETE);
        assertThat(mListing.objects()).extracting(StoredObject::key).containsExactly("servers/a");
    }
}

package org.hornbeampass.coordination.platform;

import org.hornbeampass.coordination.platform.PlatformReply.StoredObject;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads a list page by page, and decides where each page begins.
 *
 * <p>Invariants: all pages are of one era of the store, and each object is kept once, in its newest
 * version; a page is asked for only after one that brought a new object, and at most {@value
 * #MAX_PAGES} are, so that each list ends whatever the store answers. A page begins after a name
 * that a call can state; an entry without such a name is passed over as a place to go on. Not
 * thread-safe.
 */
public final class PagedListing {
    /** The most pages of a list; the objects of more would fill the memory of a small VM. */
    static final int MAX_PAGES = 200;

    /** Why a list is not read to its end, for logs. */
    public static final String NO_END = "the pages of the list repeat or lead to no end";

    private final String mPrefix;
    private final int mPageSize;
    private final Map<String, StoredObject> mObjects = new LinkedHashMap<>();
    private String mAfterKey = "";
    private int mPages;
    private long mVersion;

    /** What a page means for the list that it belongs to. */
    public enum PageResult {
        /** The list goes on with another page. */
        MORE,
        /** The list is complete. */
        COMPLETE,
        /** The store was restored after the first page; the list begins again. */
        RESTORED,
        /** The store states that there is more, but the list would not end; it begins again. */
        NOT_ADVANCING
    }

    /**
     * Creates a listing that begins with the first page.
     *
     * @param prefix the prefix that the keys share
     * @param pageSize the most objects of a page
     */
    public PagedListing(String prefix, int pageSize) {
        mPrefix = prefix;
        mPageSize = pageSize;
    }

    /** Returns the call for the next page. */
    public PlatformCall.ListObjects nextCall() {
        return new PlatformCall.ListObjects(mPrefix, mAfterKey, mPageSize);
    }

    /** Adds the page that was asked for last. */
    public PageResult add(PlatformReply.Listed page) {
        if (mPages == 0) {
            mVersion = page.storeVersion();
        } else if (!StoreVersion.isSameEra(page.storeVersion(), mVersion)) {
            restart();
            return PageResult.RESTORED;
        }
        mPages++;
        int known = mObjects.size();
        page.objects().forEach(this::keepNewest);
        if (!page.more()) {
            return PageResult.COMPLETE;
        }
        boolean advances = mObjects.size() > known && moveAfterLastOf(page.objects());
        if (advances && mPages < MAX_PAGES) {
            return PageResult.MORE;
        }
        restart();
        return PageResult.NOT_ADVANCING;
    }

    private void keepNewest(StoredObject object) {
        mObjects.merge(
                object.key(),
                object,
                (known, listed) -> listed.version() > known.version() ? listed : known);
    }

    /** Returns whether an object has a name after which a page can begin. */
    private boolean moveAfterLastOf(List<StoredObject> objects) {
        for (int i = objects.size() - 1; i >= 0; i--) {
            String key = objects.get(i).key();
            if (key.length() > mPrefix.length() && isEncodable(key)) {
                mAfterKey = key;
                return true;
            }
        }
        return false;
    }

    /** Returns whether each surrogate of a key has its pair. */
    private static boolean isEncodable(String key) {
        return StandardCharsets.UTF_8.newEncoder().canEncode(key);
    }

    /** Drops what was read, and begins with the first page again. */
    public void restart() {
        mObjects.clear();
        mAfterKey = "";
        mPages = 0;
    }

    /** Returns the objects that were read, in the order of the pages. */
    public List<StoredObject> objects() {
        return List.copyOf(mObjects.values());
    }

    /** Returns the store's version at the first page, from which changes may be watched. */
    public long version() {
        return mVersion;
    }
}

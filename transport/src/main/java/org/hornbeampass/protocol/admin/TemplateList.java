package org.hornbeampass.protocol.admin;

import java.util.List;
import java.util.Optional;

/**
 * One page of templates.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param items the templates in the order of their names
 * @param next the name after which the next page starts; empty on the last page
 */
public record TemplateList(List<TemplateView> items, Optional<String> next) {
    /** Copies the list. */
    public TemplateList {
        items = List.copyOf(items);
    }
}

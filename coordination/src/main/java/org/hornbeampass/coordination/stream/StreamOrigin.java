package org.hornbeampass.coordination.stream;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Where a stream began and must go on.
 *
 * <p>Immutable; safe for use by any thread.
 *
 * @param service the name of the service
 * @param softwareVersion the software version of the upstream
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StreamOrigin(String service, String softwareVersion) {}

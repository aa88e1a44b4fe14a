package org.hornbeampass.transport.http;

import java.util.Map;

/** A whole answer, or as much of it as came before it failed. */
record Answer(int status, Map<String, String> headers, String body, String failure) {}

/** Routes, services and organisations of an accepted configuration. */
package org.hornbeampass.state.service;

/** Routes, services and organisations as an accepted configuration lays them down. */
package org.hornbeampass.state.service;

/** Which requests get the capacity of a service when there is too little of it. */
package org.hornbeampass.coordination.admission;

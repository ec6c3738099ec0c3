/** Stand-ins for the platform's log, weight store and VM list. */
@NullMarked
package io.parsleycleat.standin.platform;

import org.jspecify.annotations.NullMarked;

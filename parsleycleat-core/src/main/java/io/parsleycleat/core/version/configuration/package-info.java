/** The operators' configuration, folded from the log. */
@NullMarked
package io.parsleycleat.core.version.configuration;

import org.jspecify.annotations.NullMarked;

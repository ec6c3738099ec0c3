/** What entries and sides have in common: their settings, connections to the platform, and life cycle. */
@NullMarked
package io.parsleycleat.core.process.common;

import org.jspecify.annotations.NullMarked;

/** Measures what the daemons take up as processes, idle and under changes of the configuration. */
@NullMarked
package io.parsleycleat.standin.measure.footprint;

import org.jspecify.annotations.NullMarked;

/** Compares routing and queue policies in virtual time, with the library's own classes over modelled engines. */
@NullMarked
package io.parsleycleat.standin.measure.routing;

import org.jspecify.annotations.NullMarked;

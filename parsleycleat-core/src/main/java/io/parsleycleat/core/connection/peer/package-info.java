/** Connections between the processes of one fleet. */
@NullMarked
package io.parsleycleat.core.connection.peer;

import org.jspecify.annotations.NullMarked;

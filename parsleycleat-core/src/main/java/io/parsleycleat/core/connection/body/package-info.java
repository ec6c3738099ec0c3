/** Bodies of requests and answers while they arrive: how they are gathered, and how much memory they may take. */
@NullMarked
package io.parsleycleat.core.connection.body;

import org.jspecify.annotations.NullMarked;

/** Membership of the entries, and the messages that they exchange. */
@NullMarked
package io.parsleycleat.gateway.process.members;

import org.jspecify.annotations.NullMarked;

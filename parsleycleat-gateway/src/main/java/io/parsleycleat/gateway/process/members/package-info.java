/** Which entries there are, and what they tell each other. */
@NullMarked
package io.parsleycleat.gateway.process.members;

import org.jspecify.annotations.NullMarked;

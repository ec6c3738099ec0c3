/** The adapters that a model engine holds, and who uses them. */
@NullMarked
package io.parsleycleat.core.process.slots;

import org.jspecify.annotations.NullMarked;

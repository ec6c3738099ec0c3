/** What a process tells its operators over HTTP: readiness and metrics. */
@NullMarked
package io.parsleycleat.core.process.admin;

import org.jspecify.annotations.NullMarked;

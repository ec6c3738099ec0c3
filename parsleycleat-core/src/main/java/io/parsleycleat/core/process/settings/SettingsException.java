package io.parsleycleat.core.process.settings;

import io.parsleycleat.core.process.result.Location;
import io.parsleycleat.core.process.result.ParsleycleatException;
import io.parsleycleat.core.process.result.ResultCode;

/** One fault in a settings file: where it stands, the value and what is allowed. */
public final class SettingsException extends ParsleycleatException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception about a value. */
    public SettingsException(ResultCode code, Location location, String value, String allowed) {
        super(code, "value " + value + ", allowed: " + allowed, location);
    }
}
